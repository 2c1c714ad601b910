import { cac } from "cac";
import { readSettings } from "@tanagerdeck/runtime/settings/settingsFile";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { agentSettingsSchema, entrySettingsSchema } from "./settings/settingsSchema.ts";

const EXIT_USAGE = 2;

const cli = cac("tanagerdeck");

cli.command("entry <settings>", "Run an entry process").action(async (path: string) => {
    await readSettings(path, entrySettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startEntry } = await import("./entry/entryProcess.ts");
            serveUntilSignal(await startEntry(settings));
        },
    });
});

cli.command("agent <settings>", "Run the agent of a backend server").action(async (path: string) => {
    await readSettings(path, agentSettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startAgent } = await import("./agent/agentProcess.ts");
            serveUntilSignal(await startAgent(settings));
        },
    });
});

cli.help();

function exitWithUsageError(problem: string): void {
    process.stderr.write(`${problem}\n`);
    process.exitCode = EXIT_USAGE;
}

/** Prints the bound addresses as one JSON line and stops on a signal. */
function serveUntilSignal(running: RunningProcess): void {
    process.stdout.write(`${JSON.stringify({ ready: true, addresses: running.addresses })}\n`);
    const stop = () => void running.stop();
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
}

cli.parse(process.argv, { run: false });
Promise.resolve(cli.runMatchedCommand()).catch(error => {
    process.stderr.write(`${String(error)}\n`);
    process.exitCode = 1;
});
