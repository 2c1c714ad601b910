import type { Either } from "purify-ts/Either";
import type { Log } from "@tanagerdeck/runtime/log/log";

/** Settings that a running process takes over; others hold from the start of the process. */
const RELOADABLE = new Set(["seeds", "keepJobsSeconds"]);

/** Reads the settings again; unreadable ones change nothing. */
export function reloadSettings<T extends object>(
    currentSettings: T,
    readSettings: () => Either<string, T>,
    log: Log,
): T {
    return readSettings().caseOf({
        Left(problem) {
            log.error("The changed settings are unreadable and change nothing.", { problem });
            return currentSettings;
        },
        Right(newSettings) {
            const changed: string[] = [];
            for (const [name, value] of Object.entries(newSettings)) {
                if (JSON.stringify(value) !== JSON.stringify(currentSettings[name as keyof T])) {
                    changed.push(name);
                }
            }
            const needRestart = changed.filter(name => !RELOADABLE.has(name));
            log.info("The settings were read again.", {
                changed: changed.join(" "),
                afterRestart: needRestart.join(" "),
            });
            return newSettings;
        },
    });
}
