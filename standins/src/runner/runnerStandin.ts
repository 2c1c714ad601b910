import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;
const NOT_STARTED_STATUS = 503;

/** Executes one request of a runner stand-in; returns the HTTP status and body of the answer. */
export type RunnerBehaviour = (kind: string, body: string) => Promise<{ status: number; body: string }>;

/**
 * Fault of a runner stand-in.
 * - `not-started`: refuses the request with status 503.
 * - `cut`: starts the request and closes the connection.
 * - `silent`: starts the request and never answers.
 * - `truncate`: closes the connection within the answer.
 * - `swap`: answers with the id of another request.
 */
export type RunnerFault = "none" | "not-started" | "cut" | "silent" | "truncate" | "swap";

/** A stand-in for a runner. */
export interface RunnerStandin {
    listener: Listener;
    /** Ids of the executed requests, in order; an id that occurs twice was executed twice. */
    executed: string[];
    /** Current fault; tests change it while the stand-in runs. */
    fault: RunnerFault;
    /** Closes the listener and all connections. */
    kill(): Promise<void>;
}

/** Waits for the `ms` of a body such as `{ "ms": 20 }` and echoes the body, or fails if its `fail` is set. */
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
    const sockets = new Set<{ destroy(): void }>();
    const standin: Omit<RunnerStandin, "listener"> = {
        executed: [],
        fault: "none",
        async kill() {
            const closed = listener.close();
            for (const socket of sockets) {
                socket.destroy();
            }
            await closed;
        },
    };
    const listener = await startListener(address, (request, response) => {
        sockets.add(request.socket);
        request.socket.once("close", () => sockets.delete(request.socket));
        void (async () => {
            const text = await readBody(request, BODY_LIMIT_BYTES);
            const { id, kind, body } = JSON.parse(text ?? "{}") as { id: string; kind: string; body: string };
            if (standin.fault === "not-started") {
                sendJson(response, NOT_STARTED_STATUS, {});
                return;
            }
            standin.executed.push(id);
            if (standin.fault === "silent") {
                return;
            }
            if (standin.fault === "cut") {
                request.socket.destroy();
                return;
            }
            const result = await behaviour(kind, body);
            if (standin.fault === "truncate") {
                response.writeHead(200, { "content-length": "1000" });
                response.write('{"id":"', () => request.socket.destroy());
                return;
            }
            const replyId = standin.fault === "swap" ? "another" : id;
            sendJson(response, result.status, { id: replyId, body: result.body });
        })().catch(() => request.socket.destroy());
    });
    return Object.assign(standin, { listener });
}
