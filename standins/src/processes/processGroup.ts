import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startChildProcess, type ChildProcess, type ProcessCommand } from "./childProcess.ts";
import { programPath, type ProgramName } from "./programBundle.ts";
import { pollUntil } from "./polling.ts";

/** What a group needs to start programs. */
export interface ProcessGroupOptions {
    /** Folder of the bundles, filled by `bundlePrograms`. */
    programs: string;
    /** Flags of Node for every process. */
    nodeFlags?: string[];
    /** Runs `tanagerdeck` from this single executable instead of the bundle. */
    executable?: string;
}

/** Subcommand that runs a process of the system. */
export type Role = "entry" | "agent" | "platform-entry" | "platform-agent";

/** Settings of one process; they become its settings file. */
export interface ProgramSettings {
    name: string;
}

/** Real processes with their settings files in a temporary folder. */
export interface ProcessGroup {
    folder: string;
    /** Starts a program with its settings; `role` is the subcommand of `tanagerdeck`. */
    start<S extends ProgramSettings>(program: ProgramName, settings: S, role?: Role): Promise<ChildProcess>;
    processes(): ChildProcess[];
    /** Sends SIGTERM to the processes in the given order, waits, and kills what does not end in time. */
    stopAll(limitMs?: number): Promise<void>;
}

const STOP_TIMEOUT_MS = 15_000;

/** A signal ends this process without its exit handlers unless it is handled. */
function exitOnSignal(): void {
    process.exit(1);
}

/** Builds an empty group. Its processes are killed when this process exits. */
export function createProcessGroup(options: ProcessGroupOptions): ProcessGroup {
    const folder = mkdtempSync(join(tmpdir(), "tanagerdeck-"));
    const started: ChildProcess[] = [];
    const killAll = () => {
        for (const child of started) {
            child.signal("SIGKILL");
        }
        rmSync(folder, { recursive: true, force: true });
    };
    process.once("exit", killAll);
    for (const signal of ["SIGTERM", "SIGINT"] as const) {
        process.once(signal, exitOnSignal);
    }

    function buildCommand(
        program: ProgramName,
        settings: ProgramSettings,
        role: string | undefined,
    ): ProcessCommand {
        const path = join(folder, `${settings.name}.json`);
        writeFileSync(path, JSON.stringify(settings));
        const programArguments = role === undefined ? [path] : [role, path];
        if (program === "tanagerdeck" && options.executable !== undefined) {
            return { name: settings.name, executable: options.executable, arguments: programArguments };
        }
        return {
            name: settings.name,
            program: programPath(options.programs, program),
            nodeFlags: options.nodeFlags ?? [],
            arguments: programArguments,
        };
    }

    return {
        folder,
        async start(program, settings, role) {
            const child = await startChildProcess(buildCommand(program, settings, role));
            started.push(child);
            return child;
        },
        processes: () => started,
        async stopAll(limitMs = STOP_TIMEOUT_MS) {
            for (const child of started) {
                child.signal("SIGCONT");
                child.signal("SIGTERM");
            }
            await pollUntil(() => started.every(child => !child.running()), limitMs).catch(() => undefined);
            killAll();
            await Promise.all(started.map(child => child.ended));
            process.off("exit", killAll);
            process.off("SIGTERM", exitOnSignal);
            process.off("SIGINT", exitOnSignal);
        },
    };
}
