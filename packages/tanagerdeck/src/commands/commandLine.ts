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

/** The files, variables and streams of the process. */
export const processIo: CommandIo = {
    write: text => process.stdout.write(`${text}\n`),
    writeError: text => process.stderr.write(`${text}\n`),
    readFile: path => readFileSync(path),
    variable: name => process.env[name],
    newId: () => nanoid(),
};

/** Registers commands; each sets the exit code of the process from its result. */
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

/** The options' values as they were typed: cac turns `--id 007` into the number 7. */
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

function optionName(flag: string): string {
    return flag.slice(2).replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase());
}

/** Prints a result; failures go to standard error unless JSON is asked for. */
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
