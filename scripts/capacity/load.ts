import { Pool } from "undici";
import type { Deployment } from "./deployment.ts";

const RUN_TIMES_MS = [2, 5, 10, 20, 30];
const DEADLINE_MS = 10_000;
const CONNECTIONS = 32;

/** A running load, with the number of requests sent and answered so far. */
export interface Load {
    sent: number;
    answered: number;
    stop(): Promise<void>;
}

/**
 * Sends requests at a constant rate until stopped; with rate 0 the timer is too long to fire. `seed` selects where the
 * cycle of run times begins.
 */
export function startLoad(deployment: Deployment, requestsPerSecond: number, seed: number): Load {
    const { firm, entries } = deployment.environment;
    const pool = new Pool(`http://${entries[0]!.addresses.callerAddress}`, { connections: CONNECTIONS });
    const load: Load = {
        sent: 0,
        answered: 0,
        async stop() {
            clearInterval(timer);
            await pool.destroy();
        },
    };
    async function send(index: number): Promise<void> {
        const ms = RUN_TIMES_MS[(index + seed) % RUN_TIMES_MS.length];
        const response = await pool.request({
            path: "/v1/requests",
            method: "POST",
            headers: { authorization: `Bearer ${firm.callerToken}` },
            body: JSON.stringify({
                kind: firm.requestKind,
                id: `load-${requestsPerSecond}-${index}`,
                deadlineMs: DEADLINE_MS,
                body: JSON.stringify({ ms }),
            }),
        });
        await response.body.dump();
        load.answered += response.statusCode === 200 ? 1 : 0;
    }
    const timer = setInterval(
        () => void send(load.sent++).catch(() => undefined),
        requestsPerSecond > 0 ? 1_000 / requestsPerSecond : 2 ** 30,
    );
    return load;
}
