import { request as sendRequest } from "undici";
import { HOST } from "./emulatedDeployment.ts";
import { encodeJob } from "./jobBody.ts";
import type { ScriptedStep, TaskScript } from "./taskTypes.ts";

/** A job that an emulated caller submits. */
export interface CallerJob {
    id: string;
    queue: string;
    /** Client account of the job; calls authenticate with its first API key. */
    account: { keys: string[] };
    tasks: number;
    script: TaskScript;
    /** Steps of a job that has more than one; otherwise `tasks` and `script` are its only step. */
    steps?: ScriptedStep[];
    /** Due times of a job whose steps run several times; `firstDueMs` is a Unix time. */
    schedule?: { firstDueMs: number; intervalMs: number; occurrences: number };
}

/** HTTP status of a call, or `no-answer` if the call failed or timed out. */
export type CallStatus = number | "no-answer";

/** Result of a call, with the job's state if the reply contained one. */
export interface CallReply {
    status: CallStatus;
    state?: string | undefined;
}

const CALL_TIMEOUT_MS = 3_000;

/** Submits a job to an entry. */
export function submitJob(address: string, job: CallerJob): Promise<CallReply> {
    return sendJobRequest(address, "POST", job, encodeJob(job));
}

/** Queries a job's state at an entry. */
export function queryJobState(address: string, job: CallerJob): Promise<CallReply> {
    return sendJobRequest(address, "GET", job);
}

/** Cancels a job at an entry. */
export function cancelJob(address: string, job: CallerJob): Promise<CallReply> {
    return sendJobRequest(address, "DELETE", job);
}

async function sendJobRequest(
    address: string,
    method: "POST" | "GET" | "DELETE",
    { queue, id, account }: CallerJob,
    body?: object,
): Promise<CallReply> {
    try {
        const reply = await sendRequest(`http://${address}/${queue}/${id}`, {
            method,
            headers: {
                host: HOST,
                authorization: `Bearer ${account.keys[0]}`,
                "x-deadline": String(CALL_TIMEOUT_MS),
                "content-type": "application/json",
            },
            ...(body === undefined ? {} : { body: JSON.stringify(body) }),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        const replyBody = (await reply.body.json()) as { state?: string };
        return { status: reply.statusCode, state: replyBody.state };
    } catch {
        return { status: "no-answer" };
    }
}
