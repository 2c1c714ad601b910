import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { callEntry } from "@tanagerdeck/operator/client/operatorClient";
import type { CommandIo, CommandOptions, CommandResult } from "./commandTypes.ts";
import { readEntryTarget, type EntryTarget } from "./entryOptions.ts";

/** Longer than an entry needs to find the outcome of a platform call whose reply was lost. */
const OPERATOR_TIMEOUT_MS = 20_000;

/** Calls an operator route of an entry. The response is not validated: `T` is the type of the route in this build. */
export async function callOperator<T>(
    target: EntryTarget,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<Either<Failure, T>> {
    const response = await callEntry({ ...target, method, path, body, timeoutMs: OPERATOR_TIMEOUT_MS });
    return response.map(({ value }) => value as T);
}

/** Runs a command that consists of one call to an operator route; `describe` formats the response as text. */
export async function runOperatorCall<T extends object>(
    options: CommandOptions,
    io: CommandIo,
    call: { method: "GET" | "POST"; path: string; body?: object },
    describe: (value: T) => string,
): Promise<CommandResult> {
    const target = readEntryTarget(options, io, "TANAGERDECK_OPERATOR_TOKEN");
    if (target.isLeft()) {
        return target.extract();
    }
    const result = await callOperator<T>(target.unsafeCoerce(), call.method, call.path, call.body);
    return result.caseOf<CommandResult>({
        Left: problem => problem,
        Right: value => ({ kind: "done", value, text: describe(value) }),
    });
}
