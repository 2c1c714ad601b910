import { QUEUES } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import { requestText } from "@tanagerdeck/standins/emulator/entryFixture";
import { serializeScripts } from "@tanagerdeck/standins/emulator/taskTypes";
import {
    openKeptConnection,
    type Exchange,
    type KeptConnection,
} from "@tanagerdeck/standins/network/keptConnection";
import { createSoakRandom, type SoakRandom } from "./soakRandom.ts";

/** What the callers have seen. */
export interface CallerCounts {
    connections: number;
    requests: number;
    answered: number;
    /** Answers by status. */
    statuses: Record<string, number>;
    /** Closed with no part of an answer soon after the request was sent; the process may never have read it. */
    unread: number;
    /** Sent before the answer to an earlier request announced that the connection ends with it. */
    behindLast: number;
    /** Closed before the whole request was sent. */
    incomplete: number;
    /** Not answered within the caller's own time limit. */
    silent: number;
    silentCalls: string[];
    /** Requests that were sent whole and whose connection ended without a complete answer. */
    lost: string[];
}

/** Options of the callers. */
export interface CallerLoopOptions {
    deployment: EmulatedDeployment;
    seed: number;
    isEnding: () => boolean;
}

/** Callers that keep connections to each entry open, directly and not through a proxy, until the process is gone. */
export interface CallerLoops {
    counts: CallerCounts;
    start(): Promise<void>[];
}

const CONNECTIONS_PER_ENTRY = 8;
/** Longest time between two parts of a request. */
const MAX_PART_DELAY_MS = 400;
/** Time limit of a call, which its `X-Deadline` names. */
const CALL_LIMIT_MS = 3_000;
/** A request sent up to this long before its connection closed may not have been read: `loss_slack_ms` of the rules. */
const UNREAD_LIMIT_MS = 200;
/** Added to the seed of the signals to get the seed of the callers. */
const CALLER_SEED_OFFSET = 2_000_003;

/** One request: its text in one part, or in two that are sent one after the other. */
interface PlannedRequest {
    label: string;
    parts: string[];
}

/** Creates the callers. */
export function createCallerLoops({ deployment, seed, isEnding }: CallerLoopOptions): CallerLoops {
    const random = createSoakRandom(seed + CALLER_SEED_OFFSET);
    const counts: CallerCounts = {
        connections: 0,
        requests: 0,
        answered: 0,
        statuses: {},
        unread: 0,
        behindLast: 0,
        incomplete: 0,
        silent: 0,
        silentCalls: [],
        lost: [],
    };
    const sentIds: string[] = [];
    let nextId = 1;

    function planRequest(): PlannedRequest {
        const method = random.pick(["GET", "GET", "GET", "POST", "POST", "DELETE", "COUNT"] as const);
        const queue = random.pick(QUEUES);
        const key = random.pick(["key-okahandja", "key-okahandja", "key-caroni", "key-unknown"]);
        const label = `${method} ${queue}`;
        if (method === "POST") {
            const id = (nextId++).toString(16).padStart(16, "0");
            sentIds.push(id);
            const text = requestText("POST", id, { body: jobBody(id, random), key, queue });
            const cut = random.chance(0.2) ? random.between(1, text.length - 1) : text.length;
            return { label, parts: [text.slice(0, cut), text.slice(cut)].filter(part => part !== "") };
        }
        const id = sentIds.length > 0 ? random.pick(sentIds) : "f".repeat(16);
        const text =
            method === "COUNT"
                ? requestText("GET", "", { key, queue })
                : requestText(method, id, { key, queue });
        return { label, parts: [text] };
    }

    function record(entry: string, label: string, sentAt: number, outcome: Exchange): void {
        counts.requests += 1;
        if (outcome.kind === "answered") {
            counts.answered += 1;
            const { status } = outcome.answer;
            counts.statuses[status] = (counts.statuses[status] ?? 0) + 1;
            return;
        }
        if (outcome.kind === "silent") {
            counts.silent += 1;
            counts.silentCalls.push(`${Date.now()} ${entry} ${label}`);
            return;
        }
        const heldMs = performance.now() - sentAt;
        if (!outcome.partial && outcome.isAfterLast) {
            counts.behindLast += 1;
            return;
        }
        if (!outcome.partial && heldMs <= UNREAD_LIMIT_MS) {
            counts.unread += 1;
            return;
        }
        const how = `${outcome.partial ? "in the answer" : "without an answer"}, ${outcome.error ?? "end"}`;
        counts.lost.push(`${Date.now()} ${entry} ${label}: closed after ${heldMs.toFixed(0)} ms ${how}`);
    }

    async function send(
        entry: EmulatedEntry,
        connection: KeptConnection,
        { label, parts }: PlannedRequest,
    ): Promise<void> {
        const [first, second] = parts;
        const exchange = connection.exchange(first!, CALL_LIMIT_MS + MAX_PART_DELAY_MS);
        if (second !== undefined) {
            await Promise.race([exchange, pause(random.between(0, MAX_PART_DELAY_MS))]);
            const early = await Promise.race([exchange, undefined]);
            if (early?.kind === "closed") {
                counts.incomplete += 1;
                return;
            }
            connection.write(second);
        }
        const sentAt = performance.now();
        const outcome = await exchange;
        record(entry.name, label, sentAt, outcome);
        if (outcome.kind === "silent") {
            connection.close();
        }
    }

    /** Uses one connection until it ends, with pauses of different lengths, so that stops meet every state of it. */
    async function useConnection(entry: EmulatedEntry, connection: KeptConnection): Promise<void> {
        counts.connections += 1;
        while (connection.isOpen() && !isEnding()) {
            await pause(random.chance(0.1) ? random.between(500, 4_000) : random.between(0, 120));
            if (!connection.isOpen()) {
                break;
            }
            const request = planRequest();
            const calls = [send(entry, connection, request)];
            if (request.parts.length === 1 && random.chance(0.05)) {
                calls.push(sendNow(entry, connection), sendNow(entry, connection));
            }
            await Promise.all(calls);
        }
        connection.close();
    }

    /** Sends a query without waiting for the answers to earlier requests. */
    async function sendNow(entry: EmulatedEntry, connection: KeptConnection): Promise<void> {
        const sentAt = performance.now();
        const text = requestText("GET", "", { queue: "urgent" });
        record(entry.name, "GET at once", sentAt, await connection.exchange(text, CALL_LIMIT_MS));
    }

    async function callerLoop(entry: EmulatedEntry): Promise<void> {
        while (!isEnding()) {
            const connection = await openKeptConnection(entry.callerAddress).catch(() => undefined);
            if (connection) {
                await useConnection(entry, connection);
            } else {
                await pause(random.between(20, 100));
            }
        }
    }

    return {
        counts,
        start: () =>
            deployment.entries.flatMap(entry =>
                Array.from({ length: CONNECTIONS_PER_ENTRY }, () => callerLoop(entry)),
            ),
    };
}

function jobBody(id: string, random: SoakRandom): string {
    const script = {
        job: id,
        durationMs: random.between(100, 1_000),
        cpuMillis: 1_000,
        gpus: 0,
        gang: 1,
        failures: 0,
    };
    const step = { count: 1, cpu: script.cpuMillis, estimate_ms: script.durationMs };
    return JSON.stringify({ spec: serializeScripts([script]), steps: [step] });
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
