import { spawn, type ChildProcess as NodeChild } from "node:child_process";

/** Signals that tests send. */
export type ProcessSignal = "SIGTERM" | "SIGINT" | "SIGKILL" | "SIGSTOP" | "SIGCONT" | "SIGHUP";

/** How to start a process: `executable`, by default this Node, with the file `program`, if any, as argument. */
export interface ProcessCommand {
    name: string;
    executable?: string;
    program?: string;
    nodeFlags?: string[];
    arguments: string[];
}

/** The line that a process prints when it is ready. */
interface ReadyLine {
    ready: boolean;
    addresses: Record<string, string>;
}

/** A child process that a test has started. */
export interface ChildProcess {
    name: string;
    pid: number;
    /** Bound `ip:port` by settings key, as printed in the ready line. */
    addresses: Record<string, string>;
    /** Standard output and standard error in order of arrival, cut to the last `OUTPUT_LIMIT_CHARACTERS`. */
    output(): string;
    signal(signal: ProcessSignal): void;
    /** Resolves with the exit code, or undefined if a signal ended the process. */
    ended: Promise<number | undefined>;
    running(): boolean;
}

const READY_PREFIX = '{"ready":true';
const READY_TIMEOUT_MS = 20_000;
const OUTPUT_LIMIT_CHARACTERS = 4 * 1024 * 1024;

/** Starts a process and waits for its ready line. Rejects with its output if it exits first or prints none in time. */
export async function startChildProcess(command: ProcessCommand): Promise<ChildProcess> {
    const programArguments = command.program === undefined ? [] : [command.program];
    const child = spawn(
        command.executable ?? process.execPath,
        [...(command.nodeFlags ?? []), ...programArguments, ...command.arguments],
        { stdio: ["ignore", "pipe", "pipe"] },
    );
    let output = "";
    const collect = (chunk: Buffer) => {
        output = (output + chunk.toString("utf8")).slice(-OUTPUT_LIMIT_CHARACTERS);
    };
    child.stdout.on("data", collect);
    child.stderr.on("data", collect);
    let isRunning = true;
    const ended = new Promise<number | undefined>(resolve => {
        child.once("exit", code => {
            isRunning = false;
            resolve(code ?? undefined);
        });
    });
    const ready = await readyLine(child, command.name, () => output);
    return {
        name: command.name,
        pid: child.pid!,
        addresses: ready.addresses,
        output: () => output,
        signal: signal => void (isRunning && child.kill(signal)),
        ended,
        running: () => isRunning,
    };
}

function readyLine(child: NodeChild, name: string, output: () => string): Promise<ReadyLine> {
    return new Promise((resolve, reject) => {
        let text = "";
        const removeListeners = () => {
            clearTimeout(timer);
            child.off("error", fail);
            child.off("exit", onExit);
            child.stdout!.off("data", onData);
        };
        const fail = (reason: unknown) => {
            removeListeners();
            child.kill("SIGKILL");
            reject(new Error(`${name}: ${reason}; output:\n${output()}`));
        };
        const onExit = (code: number | undefined) => fail(`exited with ${code} before the ready line`);
        const onData = (chunk: Buffer) => {
            text += chunk.toString("utf8");
            const line = text.split("\n").find(candidate => candidate.startsWith(READY_PREFIX));
            if (line?.endsWith("}")) {
                removeListeners();
                resolve(JSON.parse(line) as ReadyLine);
            }
        };
        const timer = setTimeout(fail, READY_TIMEOUT_MS, "no ready line in time");
        child.once("error", fail);
        child.once("exit", onExit);
        child.stdout!.on("data", onData);
    });
}
