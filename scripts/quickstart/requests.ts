import { createHash } from "node:crypto";
import type { Environment } from "./environment.ts";

const CONCURRENCY = 16;
const DEADLINE_MS = 10_000;
const RUN_TIMES_MS = [2, 5, 10, 20, 30];

/** What became of the requests of one environment. */
export interface RequestResult {
    requests: number;
    /** Requests whose caller received the complete answer to its own request. */
    answered: number;
    /** Requests that a runner executed more than once. */
    duplicated: number;
    problems: string[];
}

/** Sends requests through all entries and checks each answer and each execution. */
export async function sendRequests(environment: Environment, count: number): Promise<RequestResult> {
    const result: RequestResult = { requests: count, answered: 0, duplicated: 0, problems: [] };
    let next = 0;
    async function sendInTurn(): Promise<void> {
        while (next < count) {
            const index = next++;
            const problem = await sendRequest(environment, index).catch(String);
            if (problem === undefined) {
                result.answered++;
                continue;
            }
            result.problems.push(problem);
        }
    }
    await Promise.all(Array.from({ length: CONCURRENCY }, sendInTurn));
    result.duplicated = await countDuplicates(environment);
    return result;
}

/** Sends one request; undefined if its answer is complete and its own, else what was wrong. */
async function sendRequest({ firm, entries }: Environment, index: number): Promise<string | undefined> {
    const id = `${firm.environment}-${index}`;
    const body = JSON.stringify({ id, ms: RUN_TIMES_MS[index % RUN_TIMES_MS.length] });
    const entry = entries[index % entries.length]!;
    const response = await fetch(`http://${entry.addresses.callerAddress}/v1/requests`, {
        method: "POST",
        headers: { authorization: `Bearer ${firm.callerToken}` },
        body: JSON.stringify({ kind: firm.requestKind, id, deadlineMs: DEADLINE_MS, body }),
    });
    const text = await response.text();
    if (response.status !== 200 || response.headers.get("x-verdict") !== "ran") {
        return `${id}: status ${response.status}: ${text}`;
    }
    const digest = createHash("sha256").update(text).digest("base64");
    if (response.headers.get("content-digest") !== `sha-256=:${digest}:`) {
        return `${id}: the digest does not match the body`;
    }
    if ((JSON.parse(text) as { echo: string }).echo !== body) {
        return `${id}: the answer belongs to another request: ${text}`;
    }
    return undefined;
}

async function countDuplicates({ runners }: Environment): Promise<number> {
    const seen = new Set<string>();
    const repeated = new Set<string>();
    for (const runner of runners) {
        const response = await fetch(`http://${runner.addresses.controlAddress}/executed`);
        for (const id of (await response.json()) as string[]) {
            (seen.has(id) ? repeated : seen).add(id);
        }
    }
    return repeated.size;
}
