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
const FORECAST_COUNT = 80;
const QUOTE_COUNT = 200;
const QUOTE_INTERVAL_MS = 15;
const DEADLINE_MS = 60_000;
const QUOTA = { accelerators: 0, requestsPerSecond: 1_000, waiting: 1_000 };
const DETECTION_TARGET_MS = 2_500;
const DETECTION_TRIALS = 3;
const CLAIM_COUNT = 300;
const TICKET_STATUS = 428;

/** Measures urgent quotes queued with batch forecasts, the detection of silent connections and the cost of tickets. */
export const requestBench: Bench = async () => [
    ...(await measureQuotes()),
    await measureDetection(),
    await measureClaim(),
];

async function measureQuotes(): Promise<Measure[]> {
    const fairOrder = await quoteTimes(fairShortestFirst);
    const baseline = await quoteTimes(firstComeFirstServed);
    return [0.5, 0.99].map(fraction => ({
        name: `request.urgentQuote.p${fraction * 100}`,
        unit: "ms",
        value: quantile(fairOrder, fraction),
        baseline: quantile(baseline, fraction),
    }));
}

/** Completion times of quotes that arrive at one runner while forecasts wait in its queue. */
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
            throw new Error(`A benchmark request failed: ${progress.outcome.detail}`);
        }
        return performance.now() - start;
    };
    const forecasts = Array.from({ length: FORECAST_COUNT }, (_, index) =>
        run(createRequest(`forecast-${index}`, "batch", between(300, 600))),
    );
    const quotes: Promise<number>[] = [];
    for (let index = 0; index < QUOTE_COUNT; index++) {
        await pause(QUOTE_INTERVAL_MS);
        quotes.push(run(createRequest(`quote-${index}`, "urgent", between(5, 25))));
    }
    const times = await Promise.all(quotes);
    await Promise.all(forecasts);
    await task.stop();
    return times;
}

/** Measures the longest time until a call on a silent connection fails; the baseline is the stated target. */
async function measureDetection(): Promise<Measure> {
    const silent = await startListener("127.0.0.1:0", () => undefined);
    const proxy = await startProxyStandin(silent.address);
    proxy.faultFor = () => "silent-before";
    const clients = createPeerClients("bench-token-of-peers", POLL_IDLE_TIMEOUT_MS);
    const reference = { id: "id", clientAccount: "counter", incarnation: "bench", attempt: "one" };
    const times = Array.from({ length: DETECTION_TRIALS }, async () => {
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
 * Measures the time that at-most-once execution adds to a request, all on loopback: the request that returns a ticket
 * and the lookup in the ledger. The baseline is a compare-and-swap claim in the platform's store.
 */
async function measureClaim(): Promise<Measure> {
    const platform = await startPlatformStandin("127.0.0.1:0");
    const store = createEtcdStore(platform.listener.address, () => undefined);
    const listener = await startListener("127.0.0.1:0", (_request, response) =>
        sendJson(response, TICKET_STATUS, { ticket: createTicket(0) }),
    );
    const ledger = createRequestLedger("bench", { bytes: 1, records: 2 * CLAIM_COUNT }, 0);
    const claims: number[] = [];
    const tickets: number[] = [];
    for (let index = 0; index < CLAIM_COUNT; index++) {
        const id = createTicket(index);
        claims.push(
            await elapsedMs(() =>
                store.write([{ key: `claims/${id}`, value: "claimed", expectedVersion: 0 }]),
            ),
        );
        tickets.push(
            await elapsedMs(async () => {
                const response = await request(`http://${listener.address}`, { method: "POST", body: "{}" });
                await response.body.text();
                const booking = { ...createRequest(id, "urgent", 0), repeatable: false };
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

function createTicket(index: number): string {
    return formatTicket({
        agent: "agent-1",
        incarnation: "bench",
        random: `r${index}`,
        expiresAt: 3_600_000,
    });
}

async function elapsedMs(work: () => Promise<unknown>): Promise<number> {
    const start = performance.now();
    await work();
    return performance.now() - start;
}

function createRequest(id: string, priority: "urgent" | "batch", ms: number): Request {
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

function quantile(values: number[], fraction: number): number {
    const sorted = [...values].sort((a, b) => a - b);
    return Number((sorted[Math.ceil(sorted.length * fraction) - 1] ?? 0).toFixed(3));
}
