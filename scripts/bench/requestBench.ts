import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { startRunnerTask } from "@tanagerdeck/backend/runner/runnerTask";
import { createAnswer } from "@tanagerdeck/backend/runner/runnerClient";
import {
    fairShortestFirst,
    firstComeFirstServed,
    type QueueOrder,
} from "@tanagerdeck/decisions/admission/runnerQueue";
import { createRequestLedger } from "@tanagerdeck/decisions/request/requestLedgerTypes";
import { admitRequest } from "@tanagerdeck/decisions/request/requestLedger";
import { formatTicket, type Progress, type Request } from "@tanagerdeck/decisions/request/requestTypes";
import { createPeerClients, POLL_IDLE_TIMEOUT_MS } from "@tanagerdeck/peer/link/peerClient";
import { peerCall } from "@tanagerdeck/peer/link/peerCall";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { sendJson, startListener } from "@tanagerdeck/runtime/http/listener";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import { startProxyStandin } from "@tanagerdeck/standins/network/proxyStandin";
import { createEtcdStore } from "@tanagerdeck/store/store/etcdStore";
import { startPlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { request } from "undici";
import type { Bench, Measure } from "./benchTypes.ts";

const SEED = 20_260_401;
const SLOTS = 8;
const FORECASTS = 80;
const QUOTES = 200;
const QUOTE_INTERVAL_MS = 15;
const DEADLINE_MS = 60_000;
const QUOTA = { accelerators: 0, requestsPerSecond: 1_000, waiting: 1_000 };
const DETECTION_TARGET_MS = 2_500;
const TRIES = 3;
const CLAIMS = 300;
const TICKET_STATUS = 428;

/** Completion of urgent quotes behind batch forecasts, detection of silence, and the cost of a claim. */
export const requestBench: Bench = async () => [
    ...(await measureQuotes()),
    await measureDetection(),
    await measureClaim(),
];

async function measureQuotes(): Promise<Measure[]> {
    const ordered = await quoteTimes(fairShortestFirst);
    const baseline = await quoteTimes(firstComeFirstServed);
    return [0.5, 0.99].map(part => ({
        name: `request.urgentQuote.p${part * 100}`,
        unit: "ms",
        value: quantile(ordered, part),
        baseline: quantile(baseline, part),
    }));
}

/** Completion times of quotes that arrive at one runner while forecasts are queued. */
async function quoteTimes(order: QueueOrder): Promise<number[]> {
    const random = xoroshiro128plus(SEED);
    const between = (low: number, high: number) => uniformInt(random, low, high);
    const task = startRunnerTask({
        incarnation: "bench",
        slots: SLOTS,
        clock: systemClock,
        log: noopLog,
        order,
        digestOf: bodyDigest,
        async run({ body }) {
            await pause(Number(body));
            return { kind: "answer", verdict: "ran", answer: createAnswer(body) };
        },
    });
    const accounts = ["counter", "planning"].map(name => ({
        name,
        tokenDigests: [],
        guarantees: [],
        quota: QUOTA,
        weight: 1,
    }));
    task.send({ kind: "accounts", accounts });
    const run = async (request: Request): Promise<number> => {
        const start = performance.now();
        const send = { incarnation: "bench", attempt: request.id };
        let progress = await task.ask((reply: Reply<Progress>) => ({ kind: "submit", request, send, reply }));
        while (progress.kind === "pending") {
            const reference = { ...send, id: request.id, clientAccount: request.clientAccount };
            progress = await task.ask((reply: Reply<Progress>) => ({ kind: "result", reference, reply }));
        }
        if (progress.outcome.kind !== "answer") {
            throw new Error(`A request of the bench failed: ${progress.outcome.detail}`);
        }
        return performance.now() - start;
    };
    const forecasts = Array.from({ length: FORECASTS }, (_, index) =>
        run(requestOf(`forecast-${index}`, "batch", between(300, 600))),
    );
    const quotes: Promise<number>[] = [];
    for (let index = 0; index < QUOTES; index++) {
        await pause(QUOTE_INTERVAL_MS);
        quotes.push(run(requestOf(`quote-${index}`, "urgent", between(5, 25))));
    }
    const times = await Promise.all(quotes);
    await Promise.all(forecasts);
    await task.stop();
    return times;
}

/** Longest time until a call on a silent connection is given up, against the stated target. */
async function measureDetection(): Promise<Measure> {
    const silent = await startListener("127.0.0.1:0", () => undefined);
    const proxy = await startProxyStandin(silent.address);
    proxy.faultFor = () => "silent-before";
    const clients = createPeerClients("bench-token-of-peers", POLL_IDLE_TIMEOUT_MS);
    const reference = { id: "id", clientAccount: "counter", incarnation: "bench", attempt: "one" };
    const times = Array.from({ length: TRIES }, async () => {
        const start = performance.now();
        await peerCall(DEADLINE_MS, signal =>
            clients.pollingAgent(proxy.address).result.mutate(reference, { signal }),
        );
        return performance.now() - start;
    });
    const value = Math.max(...(await Promise.all(times)));
    await clients.close();
    await proxy.close();
    await silent.close();
    return { name: "request.silentConnection.detection", unit: "ms", value, baseline: DETECTION_TARGET_MS };
}

/**
 * Time that running at most once adds to a request, all on loopback: the exchange that issues a ticket and the
 * lookup in the ledger, against a compare-and-swap claim on the platform.
 */
async function measureClaim(): Promise<Measure> {
    const platform = await startPlatformStandin("127.0.0.1:0");
    const store = createEtcdStore(platform.listener.address, () => undefined);
    const listener = await startListener("127.0.0.1:0", (_request, response) =>
        sendJson(response, TICKET_STATUS, { ticket: ticketOf(0) }),
    );
    const ledger = createRequestLedger("bench", { bytes: 1, records: 2 * CLAIMS }, 0);
    const claims: number[] = [];
    const tickets: number[] = [];
    for (let index = 0; index < CLAIMS; index++) {
        const id = ticketOf(index);
        claims.push(
            await timeOf(() => store.write([{ key: `claims/${id}`, value: "claimed", expectedVersion: 0 }])),
        );
        tickets.push(
            await timeOf(async () => {
                const response = await request(`http://${listener.address}`, { method: "POST", body: "{}" });
                await response.body.text();
                const booking = { ...requestOf(id, "urgent", 0), repeatable: false };
                admitRequest(ledger, booking, { incarnation: "bench", attempt: id }, bodyDigest("{}"));
            }),
        );
    }
    await store.close();
    await platform.listener.close();
    await listener.close();
    const [value, baseline] = [quantile(tickets, 0.5), quantile(claims, 0.5)];
    return { name: "request.atMostOnce.ticket.p50", unit: "ms", value, baseline };
}

function ticketOf(index: number): string {
    return formatTicket({
        agent: "agent-1",
        incarnation: "bench",
        random: `r${index}`,
        expiresAt: 3_600_000,
    });
}

async function timeOf(work: () => Promise<unknown>): Promise<number> {
    const start = performance.now();
    await work();
    return performance.now() - start;
}

function requestOf(id: string, priority: "urgent" | "batch", ms: number): Request {
    return {
        id,
        clientAccount: priority === "urgent" ? "counter" : "planning",
        kind: priority,
        priority,
        repeatable: true,
        remainingMs: DEADLINE_MS,
        body: String(ms),
    };
}

function pause(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, milliseconds));
}

function quantile(values: number[], part: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return Number((sorted[Math.ceil(sorted.length * part) - 1] ?? 0).toFixed(3));
}
