import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Result of one command. `value` is printed with `--json`, `text` without. */
export type CommandResult =
    { kind: "done"; value: object; text: string } | { kind: "usage"; detail: string } | Failure;

/** What a command may do besides calling entries. */
export interface CommandIo {
    write(text: string): void;
    writeError(text: string): void;
    readFile(path: string): Buffer;
    /** An environment variable. */
    variable(name: string): string | undefined;
    newId(): string;
}

/** Options as given on the command line, by their camel-case name. */
export type CommandOptions = Record<string, string | number | boolean | undefined>;

/** One option of a command, such as `--entry <address>`. */
export interface CommandOption {
    flags: string;
    description: string;
}

/** One command: `usage` names it and its arguments. */
export interface Command {
    usage: string;
    description: string;
    options: CommandOption[];
    run(args: string[], options: CommandOptions, io: CommandIo): Promise<CommandResult>;
}

/** 0 done, 1 internal error, 2 usage error, 3 not accepted (not run), 4 unknown outcome (may have run). */
export type ExitCode = 0 | 1 | 2 | 3 | 4;

/** The exit code of a result. */
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
