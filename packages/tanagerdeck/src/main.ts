// The command line: runs a process of the system, or a command that checks files or calls an entry.
import { cac } from "cac";
import { readSettings } from "@tanagerdeck/runtime/settings/settingsFile";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { platformAgentSchema, platformEntrySchema } from "./platform/platformSettings.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings/settingsSchema.ts";

/** Commands that run a long-lived process. */
const PROCESS_COMMANDS = new Set(["entry", "agent", "platform-entry", "platform-agent"]);
/** Environment variable with the path of the settings file on the users' platform. */
const SETTINGS_VARIABLE = "TANAGERDECK_NODE_FILE";
const EXIT_INTERNAL = 1;
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

cli.command("platform-entry [settings]", "Run an entry on the users' platform").action(async path => {
    const read = () => readSettings(path ?? process.env[SETTINGS_VARIABLE] ?? "", platformEntrySchema);
    await read().caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startPlatformEntry } = await import("./platform/platformEntry.ts");
            serveUntilSignal(await startPlatformEntry(settings, read));
        },
    });
});

cli.command("platform-agent [settings]", "Run an agent on the users' platform").action(async path => {
    const read = () => readSettings(path ?? process.env[SETTINGS_VARIABLE] ?? "", platformAgentSchema);
    await read().caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startPlatformAgent } = await import("./platform/platformAgent.ts");
            serveUntilSignal(await startPlatformAgent(settings, read));
        },
    });
});

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
    // Always handled, since SIGHUP without a handler would end a process that cannot reload.
    process.on("SIGHUP", () => running.reload?.());
}

/** Registers the commands of operators and callers. Their code is loaded here to keep it out of entries and agents. */
async function registerRemoteCommands(): Promise<void> {
    const { registerCommands, processIo } = await import("./commands/commandLine.ts");
    const { commands } = await import("./commands/commands.ts");
    registerCommands(cli, commands, processIo);
}

async function run(): Promise<void> {
    if (!PROCESS_COMMANDS.has(process.argv[2] ?? "")) {
        await registerRemoteCommands();
    }
    cli.parse(process.argv, { run: false });
    await cli.runMatchedCommand();
}

run().catch((error: Error) => {
    process.stderr.write(`${error.message}\n`);
    // Exits explicitly: tasks that a failed start leaves behind would keep the process alive.
    process.exit(error.name === "CACError" ? EXIT_USAGE : EXIT_INTERNAL);
});
