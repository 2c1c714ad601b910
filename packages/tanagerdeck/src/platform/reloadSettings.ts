import type { Either } from "purify-ts/Either";
import type { Log } from "@tanagerdeck/runtime/log/log";

/** Settings that take effect on a reload; changes of the others need a restart of the process. */
const RELOADABLE = new Set(["seeds", "keepJobsSeconds", "zones", "memoryMb", "maxDescriptors", "intake"]);

/** Returns the settings read again, or the current ones if the new ones cannot be read. */
export function reloadSettings<T extends object>(
    currentSettings: T,
    readSettings: () => Either<string, T>,
    log: Log,
): T {
    return readSettings().caseOf({
        Left(problem) {
            log.error("The settings cannot be read; the current ones stay in force.", { problem });
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
            log.info("The settings were reloaded.", {
                changed: changed.join(" "),
                afterRestart: needRestart.join(" "),
            });
            return newSettings;
        },
    });
}
