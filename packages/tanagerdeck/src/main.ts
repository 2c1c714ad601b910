import { cac } from "cac";
import { readSettings } from "@tanagerdeck/runtime/settings/settingsFile";
import { registerCommands, processIo } from "./commands/commandLine.ts";
import { commands } from "./commands/commands.ts";
import { startAgent } from "./agent/agentProcess.ts";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startEntry } from "./entry/entryProcess.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings/settingsSchema.ts";

const EXIT_INTERNAL = 1;
const EXIT_USAGE = 2;

const cli = cac("tanagerdeck");

cli.command("entry <settings>", "Run an entry process").action(async (path: string) => {
    await readSettings(path, entrySettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => serveUntilSignal(await startEntry(settings)),
    });
});

cli.command("agent <settings>", "Run the agent of a backend server").action(async (path: string) => {
    await readSettings(path, agentSettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => serveUntilSignal(await startAgent(settings)),
    });
});

registerCommands(cli, commands, processIo);
cli.command("", "Show the commands").action(() => {
    cli.outputHelp();
    process.exitCode = EXIT_USAGE;
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

async function run(): Promise<void> {
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
}

run().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    process.exitCode = error.name === "CACError" ? EXIT_USAGE : EXIT_INTERNAL;
});
