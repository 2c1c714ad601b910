import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { callEntry } from "@tanagerdeck/operator/client/operatorClient";
import type { CommandIo, CommandOptions, CommandResult } from "./commandTypes.ts";
import { entryTarget, type EntryTarget } from "./entryOptions.ts";

/** Longer than an entry needs to resolve a lost reply of the platform. */
const OPERATOR_TIMEOUT_MS = 20_000;

/** Calls an operators' route of one entry. The type of the answer is that of the same build's route. */
export async function callOperator<T>(
    target: EntryTarget,
    method: "GET" | "POST",
    path: string,
    body?: object,
): Promise<Either<Failure, T>> {
    const response = await callEntry({ ...target, method, path, body, timeoutMs: OPERATOR_TIMEOUT_MS });
    return response.map(({ value }) => value as T);
}

/** Calls an operators' route of the entry that the options name and describes its answer. */
export async function runOperatorCall<T extends object>(
    options: CommandOptions,
    io: CommandIo,
    call: { method: "GET" | "POST"; path: string; body?: object },
    describe: (value: T) => string,
): Promise<CommandResult> {
    const target = entryTarget(options, io, "TANAGERDECK_OPERATOR_TOKEN");
    if (target.isLeft()) {
        return target.extract();
    }
    const result = await callOperator<T>(target.unsafeCoerce(), call.method, call.path, call.body);
    return result.caseOf<CommandResult>({
        Left: problem => problem,
        Right: value => ({ kind: "done", value, text: describe(value) }),
    });
}
