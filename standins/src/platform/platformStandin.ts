import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { createGatewayRoutes } from "./gatewayRoutes.ts";
import { createKeySpace, GatewayError, isInRange, type KeyEvent } from "./keySpace.ts";
import { createPlatformFaults, type PlatformFaults } from "./platformFaults.ts";

export type { PlatformFaults } from "./platformFaults.ts";

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const LEASE_SWEEP_INTERVAL_MS = 200;
const WATCH_PATH = "/v3/watch";
const TRANSACTION_PATH = "/v3/kv/txn";

/** A stand-in for the platform's key-value service: the used part of the etcd v3 JSON gateway. */
export interface PlatformStandin {
    listener: Listener;
    faults: PlatformFaults;
    /** Calls received, by path; an open watch counts as one. */
    calls: Map<string, number>;
    /** Wall-clock milliseconds of each call received, in order. */
    callTimes: number[];
    /** Ends a lease at once, as if its holder had been paused for too long. */
    expireLease(lease: string): void;
    leases(): string[];
}

interface Watch {
    key: string;
    end: string | undefined;
    response: ServerResponse;
}

/** Starts the stand-in on `ip:port`. */
export async function startPlatformStandin(address: string): Promise<PlatformStandin> {
    const watches = new Set<Watch>();
    const calls = new Map<string, number>();
    const callTimes: number[] = [];
    const keySpace = createKeySpace(Date.now, notifyWatches);
    const routes = createGatewayRoutes(keySpace);
    const faults = createPlatformFaults(mode => {
        if (mode === "down") {
            closeWatches();
        }
    });

    function closeWatches(): void {
        for (const watch of watches) {
            watch.response.destroy();
        }
        watches.clear();
    }

    function notifyWatches(events: KeyEvent[]): void {
        if (faults.silentWatches) {
            return;
        }
        for (const watch of watches) {
            const watchedEvents = events.filter(event => isInRange(event.kv.key, watch.key, watch.end));
            if (watchedEvents.length > 0) {
                const header = { revision: String(keySpace.revision()) };
                watch.response.write(`${JSON.stringify({ result: { header, events: watchedEvents } })}\n`);
            }
        }
    }

    function openWatch(range: { key: string; range_end?: string }, response: ServerResponse): void {
        const watch = { key: range.key, end: range.range_end, response };
        watches.add(watch);
        response.on("close", () => watches.delete(watch));
        response.writeHead(200, { "content-type": "application/json" });
        const header = { revision: String(keySpace.revision()) };
        response.write(`${JSON.stringify({ result: { header, created: true } })}\n`);
    }

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "";
        const text = await readBody(request, BODY_LIMIT_BYTES);
        calls.set(path, (calls.get(path) ?? 0) + 1);
        callTimes.push(Date.now());
        await delay(faults.delayMs);
        if (faults.mode === "down") {
            request.socket.destroy();
            return;
        }
        if (faults.mode === "silent") {
            return;
        }
        keySpace.expireLeases();
        const body = JSON.parse(text ?? "{}");
        if (path === WATCH_PATH) {
            openWatch(body.create_request, response);
            return;
        }
        const route = routes[path];
        if (!route) {
            sendJson(response, 404, { error: "Not Found", code: 5, message: "Not Found" });
            return;
        }
        const reply = route(body);
        await delay(faults.replyDelayMs);
        if (faults.mode === "lose-write-reply" && path === TRANSACTION_PATH) {
            request.socket.destroy();
            return;
        }
        sendJson(response, 200, reply);
    }

    const sweep = setInterval(() => keySpace.expireLeases(), LEASE_SWEEP_INTERVAL_MS);
    const listener = await startListener(address, (request, response) => {
        handle(request, response).catch((error: unknown) => {
            if (error instanceof GatewayError) {
                const { status, code, message } = error;
                sendJson(response, status, { error: message, code, message });
                return;
            }
            request.socket.destroy();
        });
    });
    const close = async () => {
        clearInterval(sweep);
        closeWatches();
        await listener.close();
    };
    return {
        listener: { ...listener, close },
        faults,
        calls,
        callTimes,
        expireLease: lease => void keySpace.revoke(lease),
        leases: () => keySpace.leases(),
    };
}

function delay(milliseconds: number): Promise<void> {
    return milliseconds > 0 ? new Promise(resolve => setTimeout(resolve, milliseconds)) : Promise.resolve();
}
