import { Left, Right, type Either } from "purify-ts/Either";
import type { CommandIo, CommandOption, CommandOptions, CommandResult } from "./commandTypes.ts";

/** Environment variables that hold tokens. No option takes a token, since the process list shows arguments. */
export type TokenVariable =
    "TANAGERDECK_OPERATOR_TOKEN" | "TANAGERDECK_TRIAL_OPERATOR_TOKEN" | "TANAGERDECK_TOKEN";

/** Address of an entry and the bearer token for it. */
export interface EntryTarget {
    address: string;
    token: string;
}

/** Options of every command that calls an entry. */
export const entryOptions: CommandOption[] = [
    { flags: "--entry <address>", description: "Address of the entry's listener, such as 10.0.0.1:7001" },
    { flags: "--token-file <path>", description: "File with the bearer token; else an environment variable" },
];

const ADDRESS_PATTERN = /^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$/;

/** Builds the result of a command that was used wrongly. */
export function usageError(detail: string): CommandResult {
    return { kind: "usage", detail };
}

/** Reads the address and the token of an entry from the options; the token may come from `variable`. */
export function readEntryTarget(
    options: CommandOptions,
    io: CommandIo,
    variable: TokenVariable,
    names = { address: "entry", tokenFile: "tokenFile" },
): Either<CommandResult, EntryTarget> {
    const address = options[names.address];
    if (typeof address !== "string" || !ADDRESS_PATTERN.test(address)) {
        return Left(
            usageError(`--${names.address}: must be an IPv4 number and a port, such as 10.0.0.1:7001`),
        );
    }
    return readToken(options[names.tokenFile], io, variable).map(token => ({ address, token }));
}

/** Reads a text file. Bytes that are not UTF-8 are an error, since the digest of the decoded text would differ. */
export function readText(path: string, io: CommandIo): Either<CommandResult, string> {
    try {
        const bytes = io.readFile(path);
        const text = bytes.toString("utf8");
        return Buffer.from(text, "utf8").equals(bytes)
            ? Right(text)
            : Left(usageError(`${path}: the file is not UTF-8`));
    } catch (error) {
        return Left(usageError(`${path}: the file cannot be read: ${(error as Error).message}`));
    }
}

/** Parses an option's value as an integer of at least `minimum`. */
export function integerOption(
    options: CommandOptions,
    name: string,
    minimum: number,
): Either<CommandResult, number> {
    const optionValue = options[name];
    const value = Number(optionValue);
    return optionValue !== undefined && optionValue !== "" && Number.isSafeInteger(value) && value >= minimum
        ? Right(value)
        : Left(usageError(`--${flagName(name)}: must be a whole number of at least ${minimum}`));
}

function readToken(file: unknown, io: CommandIo, variable: TokenVariable): Either<CommandResult, string> {
    const token =
        file === undefined ? Right(io.environmentVariable(variable) ?? "") : readText(String(file), io);
    return token
        .map(text => text.trim())
        .chain(text =>
            text === "" ? Left(usageError(`--token-file or ${variable} must give a token`)) : Right(text),
        );
}

/** Converts an option's key to its flag, such as `deadlineMs` to `deadline-ms`. */
function flagName(name: string): string {
    return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}
