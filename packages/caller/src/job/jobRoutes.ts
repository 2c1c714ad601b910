import type { ServerResponse } from "node:http";
import { nanoid } from "nanoid";
import { z } from "zod";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { readBody, sendJson } from "@tanagerdeck/runtime/http/listener";
import { parseJson, type Routes } from "@tanagerdeck/runtime/http/routes";
import type { CallerContext } from "../listener/callerListener.ts";
import { sendFailure } from "../listener/outcomeResponse.ts";
import type { CallerJob, JobReference, JobReply } from "./jobTaskTypes.ts";

const BODY_LIMIT_BYTES = 1024 * 1024;
const ACCEPTED = 202;
const OK = 200;

const jobSchema = z.strictObject({
    kind: z.string().min(1),
    id: z.string().min(1).max(200).optional(),
    shape: z.strictObject({
        span: z.enum(["worker", "rack", "neighbouring-racks"]),
        accelerators: z.number().int().positive(),
    }),
    seconds: z.number().positive(),
    body: z.string(),
});

/** Operations on jobs that the routes call; the jobs task implements them. */
export interface JobOperations {
    submit(job: CallerJob): Promise<JobReply>;
    status(reference: JobReference): Promise<JobReply>;
    cancel(reference: JobReference): Promise<JobReply>;
}

/** Creates the HTTP routes that submit, show and cancel gang jobs. */
export function createJobRoutes(operations: JobOperations): Routes<CallerContext> {
    return {
        async "POST /v1/jobs"({ context, request, response }) {
            const text = await readBody(request, BODY_LIMIT_BYTES);
            const parsed = jobSchema.safeParse(parseJson(text));
            if (!parsed.success) {
                sendFailure(response, failure("not-run", "invalid", z.prettifyError(parsed.error)));
                return;
            }
            const { id, ...rest } = parsed.data;
            const { clientAccount } = context;
            sendReply(
                response,
                ACCEPTED,
                await operations.submit({ ...rest, clientAccount, id: id ?? nanoid() }),
            );
        },
        async "GET /v1/jobs"({ context, segments, response }) {
            const reference = { clientAccount: context.clientAccount, id: segments[0] ?? "" };
            sendReply(response, OK, await operations.status(reference));
        },
        async "DELETE /v1/jobs"({ context, segments, response }) {
            const reference = { clientAccount: context.clientAccount, id: segments[0] ?? "" };
            sendReply(response, ACCEPTED, await operations.cancel(reference));
        },
    };
}

/** Sends a job's status or a failure; the verdict of an unfinished job is `may-have-run`. */
function sendReply(response: ServerResponse, status: number, reply: JobReply): void {
    if (reply.kind === "failure") {
        sendFailure(response, reply);
        return;
    }
    const verdict = reply.status.end?.verdict ?? "may-have-run";
    sendJson(response, status, reply.status, { "x-verdict": verdict });
}
