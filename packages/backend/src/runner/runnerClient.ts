import { Pool } from "undici";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import type { Request } from "@tanagerdeck/decisions/request/requestTypes";
import { failure, type Answer, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { NOT_SENT_CODES } from "@tanagerdeck/runtime/http/notSentCodes";

const CONNECT_TIMEOUT_MS = 1_000;
/** Status with which the runner reports that it did not start the request. */
const RUN_NOT_STARTED_STATUS = 503;

/** Runs a request on the backend server and returns its outcome with the verdict. */
export type RunRequest = (request: Request, signal: AbortSignal) => Promise<Outcome>;

/** Creates an HTTP client of the runner at `ip:port` that opens at most `connections` connections. */
export function createRunnerClient(
    address: string,
    connections: number,
): { run: RunRequest; close(): Promise<void> } {
    const pool = new Pool(`http://${address}`, {
        connections,
        connect: { timeout: CONNECT_TIMEOUT_MS },
        headersTimeout: 0,
        bodyTimeout: 0,
    });

    async function run(request: Request, signal: AbortSignal): Promise<Outcome> {
        try {
            const response = await pool.request({
                path: "/run",
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify({ id: request.id, kind: request.kind, body: request.body }),
                signal,
            });
            if (response.statusCode === RUN_NOT_STARTED_STATUS) {
                await response.body.dump();
                return failure("not-run", "backend-error", "The runner did not start the request.");
            }
            const reply = (await response.body.json()) as { id?: string; body?: string };
            if (reply.id !== request.id || typeof reply.body !== "string") {
                return failure(
                    "may-have-run",
                    "backend-error",
                    "The runner's reply has no body or belongs to another request.",
                );
            }
            if (response.statusCode !== 200) {
                return failure(
                    "ran",
                    "backend-error",
                    `The runner answered with status ${response.statusCode}.`,
                );
            }
            return { kind: "answer", verdict: "ran", answer: createAnswer(reply.body) };
        } catch (error) {
            const code = (error as { code?: string }).code ?? "unknown";
            const verdict = NOT_SENT_CODES.has(code) ? "not-run" : "may-have-run";
            return failure(verdict, "backend-error", `The connection to the runner failed with ${code}.`);
        }
    }

    return { run, close: () => pool.destroy() };
}

/** Builds an answer from its body, with length and digest. */
export function createAnswer(body: string): Answer {
    return { body, length: Buffer.byteLength(body, "utf8"), digest: bodyDigest(body) };
}
