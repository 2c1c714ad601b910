import { Left, Right, type Either } from "purify-ts/Either";
import { z } from "zod";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { callEntry, type EntryCall, type EntryResponse } from "@tanagerdeck/operator/client/operatorClient";
import type { Command, CommandIo, CommandOptions, CommandResult } from "./commandTypes.ts";
import { entryOptions, readEntryTarget, readText, usageError, integerOption } from "./entryOptions.ts";

/** Time for the network beyond the request's own deadline. */
const TRANSFER_ALLOWANCE_MS = 5_000;
const JOB_TIMEOUT_MS = 20_000;
const DEFAULT_DEADLINE_MS = 30_000;
const SHAPE_PATTERN = /^(worker|rack|neighbouring-racks):([1-9]\d*)$/;

const ticketSchema = z.object({ ticket: z.string() });

/** Submits a request or, with `--shape`, a gang job. */
export const submitCommand: Command = {
    usage: "submit <kind>",
    description: "Submit a request and print its answer, or submit a job of a given shape",
    options: [
        ...entryOptions,
        { flags: "--body <text>", description: "Body of the request or job" },
        { flags: "--body-file <path>", description: "File with the body" },
        { flags: "--id <id>", description: "Id of the request or job; a repeat with the same id runs once" },
        { flags: "--deadline-ms <milliseconds>", description: "Deadline of a request (default: 30000)" },
        { flags: "--shape <span:accelerators>", description: "Shape of a job, such as rack:16" },
        { flags: "--seconds <seconds>", description: "Declared run time of a job" },
    ],
    async run([kind = ""], options, io) {
        const target = readEntryTarget(options, io, "TANAGERDECK_TOKEN");
        const submitCall = readBody(options, io).chain(body =>
            options.shape === undefined
                ? buildRequestCall(kind, body, options)
                : buildJobCall(kind, body, options),
        );
        if (target.isLeft()) {
            return target.extract();
        }
        if (submitCall.isLeft()) {
            return submitCall.extract();
        }
        const call: EntryCall = { ...target.unsafeCoerce(), method: "POST", ...submitCall.unsafeCoerce() };
        const result = await callWithTicket(call);
        return result.caseOf<CommandResult>({
            Left: problem => problem,
            Right: ({ body, value }) => ({ kind: "done", value: { answer: value ?? body }, text: body }),
        });
    },
};

/** The part of a call to an entry that depends on the submitted request or job. */
type SubmitCall = Pick<EntryCall, "path" | "body" | "timeoutMs">;

/**
 * Calls an entry. The first call for a kind that runs at most once is refused with a ticket; it is repeated with
 * the ticket as its id.
 */
async function callWithTicket(call: EntryCall): Promise<Either<Failure, EntryResponse>> {
    const first = await callEntry(call);
    const ticket = first.isLeft() ? ticketSchema.safeParse(first.extract()).data?.ticket : undefined;
    if (ticket === undefined) {
        return first;
    }
    return callEntry({ ...call, body: { ...call.body, id: ticket } });
}

function buildRequestCall(
    kind: string,
    body: string,
    options: CommandOptions,
): Either<CommandResult, SubmitCall> {
    const withDefaults = { deadlineMs: DEFAULT_DEADLINE_MS, ...options };
    return integerOption(withDefaults, "deadlineMs", 1).map(deadlineMs => ({
        path: "/v1/requests",
        body: { kind, ...idField(options), deadlineMs, body },
        timeoutMs: deadlineMs + TRANSFER_ALLOWANCE_MS,
    }));
}

function buildJobCall(
    kind: string,
    body: string,
    options: CommandOptions,
): Either<CommandResult, SubmitCall> {
    const [, span, accelerators] = SHAPE_PATTERN.exec(String(options.shape)) ?? [];
    if (!span) {
        return Left(
            usageError("--shape: must be worker, rack or neighbouring-racks and a count, such as rack:16"),
        );
    }
    return integerOption(options, "seconds", 1).map(seconds => ({
        path: "/v1/jobs",
        body: {
            kind,
            ...idField(options),
            shape: { span, accelerators: Number(accelerators) },
            seconds,
            body,
        },
        timeoutMs: JOB_TIMEOUT_MS,
    }));
}

function idField(options: CommandOptions): { id?: string } {
    return options.id === undefined ? {} : { id: String(options.id) };
}

function readBody(options: CommandOptions, io: CommandIo): Either<CommandResult, string> {
    if (options.bodyFile !== undefined) {
        return readText(String(options.bodyFile), io);
    }
    return options.body === undefined
        ? Left(usageError("--body or --body-file must be given"))
        : Right(String(options.body));
}
