import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Result of a command. `value` is printed with `--json`, `text` without it; `usage` is a wrong use. */
export type CommandResult =
    { kind: "done"; value: object; text: string } | { kind: "usage"; detail: string } | Failure;

/** Access to files, environment variables and output streams, which tests replace. */
export interface CommandIo {
    write(text: string): void;
    writeError(text: string): void;
    readFile(path: string): Buffer;
    /** Reads an environment variable. */
    environmentVariable(name: string): string | undefined;
    newId(): string;
}

/** Options from the command line, keyed by their names in camel case. */
export type CommandOptions = Record<string, string | number | boolean | undefined>;

/** One option of a command, such as `--entry <address>`. */
export interface CommandOption {
    flags: string;
    description: string;
}

/** A command of the command line; `usage` holds its name and arguments. */
export interface Command {
    usage: string;
    description: string;
    options: CommandOption[];
    run(args: string[], options: CommandOptions, io: CommandIo): Promise<CommandResult>;
}

/** Exit codes: 0 done, 1 internal error, 2 usage error, 3 not accepted (not run), 4 unknown outcome (may have run). */
export type ExitCode = 0 | 1 | 2 | 3 | 4;

/** Maps a command's result to the exit code of the process. */
export function exitCode(result: CommandResult): ExitCode {
    if (result.kind === "done") {
        return 0;
    }
    if (result.kind === "usage") {
        return 2;
    }
    const codes = { "not-run": 3, "may-have-run": 4, ran: 1 } as const;
    return codes[result.verdict];
}
