// The command line: runs a process of the system, or a command that checks files or calls an entry.
import { cac } from "cac";
import type { ProcessSignals } from "@tanagerdeck/runtime/process/processSignals";
import { readSettings } from "@tanagerdeck/runtime/settings/settingsFile";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { platformAgentSchema, platformEntrySchema } from "./platform/platformSettings.ts";
import { agentSettingsSchema, entrySettingsSchema } from "./settings/settingsSchema.ts";

/** Environment variable with the path of the settings file on the users' platform. */
const SETTINGS_VARIABLE = "TANAGERDECK_NODE_FILE";
const EXIT_INTERNAL = 1;
const EXIT_USAGE = 2;

const cli = cac("tanagerdeck");
let processSignals: ProcessSignals | undefined;

cli.command("entry <settings>", "Run an entry process").action(async (path: string) => {
    await readSettings(path, entrySettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startEntry } = await import("./entry/entryProcess.ts");
            serve(await startEntry(settings));
        },
    });
});

cli.command("agent <settings>", "Run the agent of a backend server").action(async (path: string) => {
    await readSettings(path, agentSettingsSchema).caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startAgent } = await import("./agent/agentProcess.ts");
            serve(await startAgent(settings));
        },
    });
});

cli.command("platform-entry [settings]", "Run an entry on the users' platform").action(async path => {
    const read = () => readSettings(path ?? process.env[SETTINGS_VARIABLE] ?? "", platformEntrySchema);
    await read().caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startPlatformEntry } = await import("./platform/platformEntry.ts");
            serve(await startPlatformEntry(settings, read));
        },
    });
});

cli.command("platform-agent [settings]", "Run an agent on the users' platform").action(async path => {
    const read = () => readSettings(path ?? process.env[SETTINGS_VARIABLE] ?? "", platformAgentSchema);
    await read().caseOf({
        Left: async problem => exitWithUsageError(problem),
        Right: async settings => {
            const { startPlatformAgent } = await import("./platform/platformAgent.ts");
            serve(await startPlatformAgent(settings, read));
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

/** Prints the bound addresses as one JSON line and lets the signals reach the process. */
function serve(running: RunningProcess): void {
    process.stdout.write(`${JSON.stringify({ ready: true, addresses: running.addresses })}\n`);
    processSignals?.serve(running);
}

/** Registers the commands of operators and callers. Their code is loaded here to keep it out of entries and agents. */
async function registerRemoteCommands(): Promise<void> {
    const { registerCommands, processIo } = await import("./commands/commandLine.ts");
    const { commands } = await import("./commands/commands.ts");
    registerCommands(cli, commands, processIo);
}

/** Runs the command line. `signals` is given for commands that run a long-lived process. */
export async function run(signals: ProcessSignals | undefined): Promise<void> {
    processSignals = signals;
    try {
        if (!signals) {
            await registerRemoteCommands();
        }
        cli.parse(process.argv, { run: false });
        await cli.runMatchedCommand();
    } catch (error) {
        const { name, message } = error as Error;
        process.stderr.write(`${message}\n`);
        // Exits explicitly: tasks that a failed start leaves behind would keep the process alive.
        process.exit(name === "CACError" ? EXIT_USAGE : EXIT_INTERNAL);
    }
}
