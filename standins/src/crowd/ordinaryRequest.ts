import { JOB_BODY, requestText } from "../emulator/entryFixture.ts";
import { openKeptConnection, type Exchange } from "../network/keptConnection.ts";

/** Result of an ordinary caller's request: served, or what came instead. */
export type OrdinaryResult = "served" | `not served: ${string}`;

/** Time for which the caller tries. It is long, since it shall not decide on the speed of the machine. */
const TRY_LIMIT_MS = 15_000;
const CALL_LIMIT_MS = 4_000;
const PAUSE_MS = 100;
/** Ids of the submitted jobs, one for each attempt, since a refused job must not be submitted again. */
let lastId = 0x0d1a_0000;

/** Submits a small job to an entry and asks for its state, on new connections until both are answered. */
export async function requestOrdinarily(address: string): Promise<OrdinaryResult> {
    const endsAt = performance.now() + TRY_LIMIT_MS;
    for (;;) {
        const outcome = await tryOnce(address);
        if (outcome === "") {
            return "served";
        }
        if (performance.now() >= endsAt) {
            return `not served: ${outcome}`;
        }
        await new Promise(resolve => setTimeout(resolve, PAUSE_MS));
    }
}

/** Returns an empty text if both requests succeed, otherwise what came instead. */
async function tryOnce(address: string): Promise<string> {
    lastId += 1;
    const id = lastId.toString(16).padStart(16, "0");
    const connection = await openKeptConnection(address).catch(() => undefined);
    if (!connection) {
        return "no connection";
    }
    try {
        for (const text of [requestText("POST", id, { body: JOB_BODY }), requestText("GET", id)]) {
            const exchange = await connection.exchange(text, CALL_LIMIT_MS);
            if (!isSuccess(exchange)) {
                return exchange.kind === "answered" ? String(exchange.answer.status) : exchange.kind;
            }
        }
        return "";
    } finally {
        connection.close();
    }
}

function isSuccess(exchange: Exchange): boolean {
    return exchange.kind === "answered" && exchange.answer.status === 200;
}
