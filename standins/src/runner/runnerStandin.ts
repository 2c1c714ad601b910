import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** How a runner stand-in executes one request: the answer's body, or a failure. */
export type RunnerBehaviour = (kind: string, body: string) => Promise<{ status: number; body: string }>;

/** A stand-in for a desk runner. */
export interface RunnerStandin {
    listener: Listener;
    /** Ids executed, in order; an id that stands twice ran twice. */
    executed: string[];
}

/** Waits `ms` from a body of `{ "ms": 20 }` and echoes the body. */
export const echoBehaviour: RunnerBehaviour = async (kind, body) => {
    const { ms = 0, fail = false } = JSON.parse(body) as { ms?: number; fail?: boolean };
    await new Promise(resolve => setTimeout(resolve, ms));
    if (fail) {
        return { status: 500, body: "failed" };
    }
    return { status: 200, body: JSON.stringify({ kind, echo: body }) };
};

/** Starts a runner that serves `POST /run` on `ip:port`. */
export async function startRunnerStandin(
    address: string,
    behaviour: RunnerBehaviour,
): Promise<RunnerStandin> {
    const executed: string[] = [];
    const listener = await startListener(address, (request, response) => {
        void (async () => {
            const text = await readBody(request, BODY_LIMIT_BYTES);
            const { id, kind, body } = JSON.parse(text ?? "{}") as { id: string; kind: string; body: string };
            executed.push(id);
            const result = await behaviour(kind, body);
            sendJson(response, result.status, { id, body: result.body });
        })().catch(() => request.socket.destroy());
    });
    return { listener, executed };
}
