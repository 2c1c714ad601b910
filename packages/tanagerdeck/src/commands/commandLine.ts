import { readFileSync } from "node:fs";
import type { CAC } from "cac";
import { nanoid } from "nanoid";
import {
    exitCode,
    type Command,
    type CommandIo,
    type CommandOptions,
    type CommandResult,
} from "./commandTypes.ts";

/** Gives commands the files, environment variables and streams of this process. */
export const processIo: CommandIo = {
    write: text => process.stdout.write(`${text}\n`),
    writeError: text => process.stderr.write(`${text}\n`),
    readFile: path => readFileSync(path),
    environmentVariable: name => process.env[name],
    newId: () => nanoid(),
};

/** Registers commands with cac. A command that has run prints its result and sets the exit code of the process. */
export function registerCommands(cli: CAC, commands: Record<string, Command>, io: CommandIo): void {
    for (const command of Object.values(commands)) {
        const registered = cli.command(command.usage, command.description);
        for (const { flags, description } of command.options) {
            registered.option(flags, description);
        }
        registered.option("--json", "Print one JSON object");
        registered.action(async (...actionArgs: unknown[]) => {
            const parsed = actionArgs.pop() as CommandOptions;
            const options = { ...parsed, ...rawOptionValues(command, cli.rawArgs) };
            const args = actionArgs.flat().map(String);
            const result = await command.run(args, options, io);
            printResult(result, Boolean(options.json), io);
            process.exitCode = exitCode(result);
        });
    }
}

/** Reads the options' values from the raw arguments, since cac converts `--id 007` to the number 7. */
function rawOptionValues(command: Command, args: string[]): Record<string, string> {
    const values: Record<string, string> = {};
    for (const { flags } of command.options) {
        const [flag = ""] = flags.split(" ");
        for (const [position, arg] of args.entries()) {
            const value = arg.startsWith(`${flag}=`) ? arg.slice(flag.length + 1) : args[position + 1];
            if (flags.includes("<") && (arg === flag || arg.startsWith(`${flag}=`)) && value !== undefined) {
                values[optionName(flag)] = value;
            }
        }
    }
    return values;
}

/** The key under which cac stores a flag, such as `changeId` for `--change-id`. */
function optionName(flag: string): string {
    return flag.slice(2).replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}

/** Prints a result: as JSON to standard output, or as text, with failures to standard error. */
export function printResult(result: CommandResult, json: boolean, io: CommandIo): void {
    if (json) {
        io.write(JSON.stringify(result.kind === "done" ? result.value : result));
        return;
    }
    if (result.kind === "done") {
        io.write(result.text);
        return;
    }
    io.writeError(result.kind === "usage" ? result.detail : `${result.verdict}: ${result.detail}`);
}
