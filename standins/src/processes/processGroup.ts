import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { startChildProcess, type ChildProcess, type ProcessCommand } from "./childProcess.ts";
import { programPath, type ProgramName } from "./programBundle.ts";
import { pollUntil } from "./polling.ts";

/** Options of a process group. */
export interface ProcessGroupOptions {
    /** Folder of the bundles, filled by `bundlePrograms`. */
    programs: string;
    /** Node flags for every process. */
    nodeFlags?: string[];
    /** Runs `tanagerdeck` from this single executable instead of the bundle. */
    executable?: string;
}

/** Subcommand of `tanagerdeck` that runs a process of the system. */
export type Role = "entry" | "agent" | "platform-entry" | "platform-agent";

/** Settings of one process, which are written to its settings file. */
export interface ProgramSettings {
    name: string;
}

/** Child processes with their settings files in a temporary folder. */
export interface ProcessGroup {
    folder: string;
    /** Starts a program with its settings; `role` is the subcommand of `tanagerdeck`. */
    start<S extends ProgramSettings>(program: ProgramName, settings: S, role?: Role): Promise<ChildProcess>;
    processes(): ChildProcess[];
    /** Sends SIGTERM to all processes in the order of their starts, waits, and kills those that do not end in time. */
    stopAll(limitMs?: number): Promise<void>;
}

const STOP_TIMEOUT_MS = 15_000;

/** Handles a signal by an exit, since an unhandled signal ends this process without running its exit handlers. */
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
