import type { IncomingMessage, ServerResponse } from "node:http";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";

const BODY_LIMIT_BYTES = 2 * 1024 * 1024;

/** Behaviour of the stand-in; tests change it while it runs. */
export interface PlatformFaults {
    /** `down` closes each connection; `lose-write-reply` applies a write and closes the connection. */
    mode: "normal" | "down" | "lose-write-reply";
    delayMs: number;
}

/** A stand-in for the platform's key-value service: the used part of the etcd v3 JSON gateway. */
export interface PlatformStandin {
    listener: Listener;
    faults: PlatformFaults;
    /** Calls served, by path. */
    calls: Map<string, number>;
    /** Ends a lease at once, as when its holder was paused. */
    expireLease(lease: string): void;
    leases(): string[];
}

interface Entry {
    value: string;
    revision: number;
    version: number;
    lease: string | undefined;
}

interface Lease {
    seconds: number;
    expiresAt: number;
}

interface Watch {
    key: string;
    end: string;
    response: ServerResponse;
}

interface Condition {
    key: string;
    mod_revision?: string;
}

interface Operation {
    request_put?: { key: string; value?: string; lease?: string };
    request_delete_range?: { key: string };
}

/** Starts the stand-in on `ip:port`. */
export async function startPlatformStandin(address: string): Promise<PlatformStandin> {
    const entries = new Map<string, Entry>();
    const leases = new Map<string, Lease>();
    const watches = new Set<Watch>();
    const calls = new Map<string, number>();
    const faults: PlatformFaults = { mode: "normal", delayMs: 0 };
    let revision = 1;
    let nextLease = 1;

    function dropExpired(): void {
        const now = Date.now();
        for (const [id, lease] of leases) {
            if (lease.expiresAt <= now) {
                dropLease(id);
            }
        }
    }

    function dropLease(id: string): void {
        leases.delete(id);
        for (const [key, entry] of entries) {
            if (entry.lease === id) {
                remove(key);
            }
        }
    }

    function remove(key: string): void {
        if (!entries.delete(key)) {
            return;
        }
        revision++;
        notify(key);
    }

    function put(key: string, value: string, lease: string | undefined): void {
        revision++;
        const version = (entries.get(key)?.version ?? 0) + 1;
        entries.set(key, { value, revision, version, lease });
        notify(key);
    }

    function notify(key: string): void {
        for (const watch of watches) {
            if (inRange(key, watch.key, watch.end)) {
                watch.response.write(JSON.stringify({ result: { events: [{ kv: { key } }] } }) + "\n");
            }
        }
    }

    function keyValues(key: string, end: string | undefined): object[] {
        const found: object[] = [];
        for (const name of [...entries.keys()].sort()) {
            if (!inRange(name, key, end)) {
                continue;
            }
            const entry = entries.get(name)!;
            found.push({
                key: name,
                value: entry.value,
                mod_revision: String(entry.revision),
                version: String(entry.version),
            });
        }
        return found;
    }

    function transaction(conditions: Condition[], operations: Operation[]): boolean {
        for (const condition of conditions) {
            const actual = entries.get(condition.key)?.revision ?? 0;
            if (String(actual) !== (condition.mod_revision ?? "0")) {
                return false;
            }
        }
        for (const operation of operations) {
            if (operation.request_put) {
                const { key, value, lease } = operation.request_put;
                put(key, value ?? "", lease);
            }
            if (operation.request_delete_range) {
                remove(operation.request_delete_range.key);
            }
        }
        return true;
    }

    /* eslint-disable @typescript-eslint/no-explicit-any */
    const routes: Record<string, (body: any) => unknown> = {
        "/v3/kv/range": body => ({ kvs: keyValues(body.key, body.range_end), header: { revision } }),
        "/v3/kv/txn": body => ({ succeeded: transaction(body.compare ?? [], body.success ?? []) }),
        "/v3/lease/grant": body => {
            const id = String(nextLease++);
            const seconds = Number(body.TTL);
            leases.set(id, { seconds, expiresAt: Date.now() + seconds * 1_000 });
            return { ID: id, TTL: String(seconds) };
        },
        "/v3/lease/keepalive": body => {
            const lease = leases.get(body.ID);
            if (!lease) {
                return { result: { ID: body.ID } };
            }
            lease.expiresAt = Date.now() + lease.seconds * 1_000;
            return { result: { ID: body.ID, TTL: String(lease.seconds) } };
        },
        "/v3/lease/revoke": body => {
            dropLease(body.ID);
            return {};
        },
    };
    /* eslint-enable @typescript-eslint/no-explicit-any */

    async function handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const path = request.url ?? "";
        const text = await readBody(request, BODY_LIMIT_BYTES);
        calls.set(path, (calls.get(path) ?? 0) + 1);
        if (faults.mode === "down") {
            request.socket.destroy();
            return;
        }
        if (faults.delayMs > 0) {
            await new Promise(resolve => setTimeout(resolve, faults.delayMs));
        }
        dropExpired();
        const body = JSON.parse(text ?? "{}");
        if (path === "/v3/watch") {
            openWatch(body.create_request, response);
            return;
        }
        const route = routes[path];
        if (!route) {
            sendJson(response, 404, {});
            return;
        }
        const reply = route(body);
        if (faults.mode === "lose-write-reply" && path === "/v3/kv/txn") {
            request.socket.destroy();
            return;
        }
        sendJson(response, 200, reply);
    }

    function openWatch(range: { key: string; range_end: string }, response: ServerResponse): void {
        const watch = { key: range.key, end: range.range_end, response };
        watches.add(watch);
        response.on("close", () => watches.delete(watch));
        response.writeHead(200, { "content-type": "application/json" });
        response.write(JSON.stringify({ result: { created: true } }) + "\n");
    }

    const sweep = setInterval(dropExpired, 200);
    const listener = await startListener(address, (request, response) => {
        handle(request, response).catch(() => request.socket.destroy());
    });
    const close = async () => {
        clearInterval(sweep);
        for (const watch of watches) {
            watch.response.destroy();
        }
        await listener.close();
    };
    return {
        listener: { address: listener.address, close },
        faults,
        calls,
        expireLease: dropLease,
        leases: () => [...leases.keys()],
    };
}

/** Compares the decoded keys, as the service orders keys by bytes. */
function inRange(key: string, start: string, end: string | undefined): boolean {
    const name = decode(key);
    if (end === undefined) {
        return key === start;
    }
    return name >= decode(start) && name < decode(end);
}

function decode(text: string): string {
    return Buffer.from(text, "base64").toString("latin1");
}
