/* global Buffer, clearInterval, clearTimeout, performance, URL, setInterval, setTimeout */
// A stand-in of the platform's metadata store, as PROTOCOL.md describes it. Every process of the system gets an address
// of its own, so that the store can turn single machines away while it serves the others and the operator.
/* eslint no-restricted-syntax: "off" -- the settings and the store hold null */
import http from "node:http";

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const VALUE_BYTES = 1_048_576;
const HISTORY_MS = 20_000;
const MAX_ENTRIES = 32;
const LEAST_TTL_MS = 1_000;
const MOST_TTL_MS = 600_000;

export function createStore() {
    const items = new Map();
    const leases = new Map();
    const history = [];
    const watches = new Set();
    const servers = [];
    /** Values that were refused because of their size. */
    const refused = { values: 0 };
    let revision = 100;
    let dropped = 100;
    let nextLease = 70_000;
    /** Whether calls without effect on leases run: leases pause while the store is down. */
    const state = { pausesLeases: false };

    function endLeases() {
        if (state.pausesLeases) {
            return;
        }
        for (const [id, lease] of leases) {
            if (performance.now() >= lease.endsAt) {
                endLease(id);
            }
        }
    }

    function endLease(id) {
        const lease = leases.get(id);
        if (!lease) {
            return false;
        }
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            change([], keys);
        }
        return true;
    }

    /** Applies a transaction as one revision, which reaches each watch whole. */
    function change(puts, removes) {
        revision += 1;
        const at = performance.now();
        for (const { key, value, lease = 0 } of puts) {
            const created = items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease };
            items.set(key, item);
            history.push({ at, event: item });
        }
        for (const key of removes) {
            if (items.delete(key)) {
                history.push({ at, event: { key, revision, tombstone: true } });
            }
        }
        while (history.length > 0 && history[0].at < at - HISTORY_MS) {
            dropped = Math.max(dropped, history.shift().event.revision);
        }
        for (const watch of [...watches]) {
            watch();
        }
        return revision;
    }

    function eventsAfter(prefix, after) {
        const events = [];
        for (let index = history.length - 1; index >= 0 && history[index].event.revision > after; index--) {
            if (history[index].event.key.startsWith(prefix)) {
                events.unshift(history[index].event);
            }
        }
        return events;
    }

    function transact({ expected_rev = [], puts = [], remove = [] }) {
        if (expected_rev.length + puts.length + remove.length > MAX_ENTRIES) {
            return [400, {}];
        }
        for (const key of [...puts.map(put => put.key), ...remove]) {
            if (key.startsWith("op/") || key.startsWith("servers/")) {
                return [403, {}];
            }
        }
        for (const { key, value, lease = 0 } of puts) {
            if (Buffer.byteLength(key) > 200 || Buffer.from(value, "base64").length > VALUE_BYTES) {
                refused.values += 1;
                return [400, {}];
            }
            if (lease !== 0 && !leases.has(lease)) {
                return [404, {}];
            }
        }
        const holds = expected_rev.every(({ key, revision: at }) => (items.get(key)?.revision ?? 0) === at);
        if (!holds) {
            return [412, { items: expected_rev.flatMap(({ key }) => items.get(key) ?? []) }];
        }
        return [200, { revision: change(puts, remove) }];
    }

    function range(query) {
        const prefix = query.get("prefix") ?? "";
        const after = query.get("after");
        const found = [...items.values()]
            .filter(item => item.key.startsWith(prefix) && (after === null || item.key > after))
            .sort((left, right) => (left.key < right.key ? -1 : 1));
        const page = [];
        let bytes = 0;
        for (const item of found) {
            if (page.length >= PAGE_ITEMS || (page.length > 0 && bytes + item.value.length > PAGE_BYTES)) {
                break;
            }
            page.push(item);
            bytes += item.value.length;
        }
        return [200, { items: page, truncated: page.length < found.length, current_rev: revision }];
    }

    function watch(query, isOpen, reply) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const waitMs = Math.min(30_000, Number(query.get("wait_ms")));
        const stop = () => {
            clearTimeout(timer);
            watches.delete(look);
        };
        const look = () => {
            if (!isOpen()) {
                stop();
            } else if (after < dropped) {
                stop();
                reply([410, {}]);
            } else {
                const events = eventsAfter(prefix, after);
                if (events.length > 0) {
                    stop();
                    reply([200, { events, current_rev: revision }]);
                }
            }
        };
        const timer = setTimeout(() => {
            watches.delete(look);
            if (isOpen()) {
                reply([200, { events: [], current_rev: revision }]);
            }
        }, waitMs);
        watches.add(look);
        look();
    }

    function execute(method, url, body) {
        endLeases();
        const { pathname: path, searchParams: query } = url;
        if (path === "/v1/kv-key") {
            const item = items.get(query.get("key") ?? "");
            return item ? [200, { ...item, current_rev: revision }] : [404, {}];
        }
        if (path === "/v1/kv-range") {
            return range(query);
        }
        if (path === "/v1/kv-txn") {
            return transact(JSON.parse(body));
        }
        if (path === "/v1/kv-lease") {
            const ttlMs = Math.min(MOST_TTL_MS, Math.max(LEAST_TTL_MS, JSON.parse(body).ttl_ms));
            const lease = nextLease++;
            leases.set(lease, { ttlMs, endsAt: performance.now() + ttlMs });
            return [200, { lease, ttl_ms: ttlMs }];
        }
        if (path.startsWith("/v1/kv-keep/")) {
            const lease = leases.get(Number(path.split("/").at(-1)));
            if (!lease) {
                return [404, {}];
            }
            lease.endsAt = performance.now() + lease.ttlMs;
            return [200, { ttl_ms: lease.ttlMs }];
        }
        if (path.startsWith("/v1/kv-lease-end/") && method === "DELETE") {
            return endLease(Number(path.split("/").at(-1))) ? [200, {}] : [404, {}];
        }
        return [404, {}];
    }

    /**
     * Opens the store's address for one process. `fault` may be set to a function that gets each call before it is
     * executed and returns `undefined` (serve it), `"silent"`, `"reset"`, a status, or `{ lostAfterMs }`: the call is
     * executed after this time if its condition still holds then, and not answered.
     */
    async function open(address) {
        const access = { address, fault: undefined, sockets: new Set(), close: undefined, cut: undefined };
        const server = http.createServer((request, response) => {
            const chunks = [];
            request.on("data", chunk => chunks.push(chunk));
            request.on("error", () => {});
            request.on("end", () => {
                const body = Buffer.concat(chunks).toString("utf8");
                const url = new URL(request.url, "http://store");
                const call = { method: request.method, path: url.pathname, query: url.searchParams, body };
                const fault = access.fault?.(call);
                if (fault === "silent") {
                    return;
                }
                if (fault === "reset") {
                    request.socket.resetAndDestroy();
                    return;
                }
                if (typeof fault === "number") {
                    send(response, [fault, {}]);
                    return;
                }
                if (fault) {
                    setTimeout(() => execute(request.method, url, body), fault.lostAfterMs);
                    return;
                }
                setTimeout(() => {
                    if (url.pathname === "/v1/kv-watch") {
                        endLeases();
                        watch(
                            url.searchParams,
                            () => !response.destroyed,
                            reply => send(response, reply),
                        );
                    } else {
                        send(response, execute(request.method, url, body));
                    }
                }, ANSWER_MS);
            });
        });
        server.keepAliveTimeout = 60_000;
        server.on("connection", socket => {
            access.sockets.add(socket);
            socket.on("error", () => {});
            socket.on("close", () => access.sockets.delete(socket));
        });
        const [host, port] = address.split(":");
        await new Promise(resolve => server.listen(Number(port), host, resolve));
        access.address = `${host}:${server.address().port}`;
        access.cut = () => {
            for (const socket of access.sockets) {
                socket.resetAndDestroy();
            }
        };
        access.close = () => {
            server.close();
            server.closeAllConnections();
        };
        servers.push(access);
        return access;
    }

    function send(response, [status, body]) {
        if (!response.destroyed) {
            response.writeHead(status, { "content-type": "application/json" });
            response.end(JSON.stringify(body));
        }
    }

    const sweep = setInterval(endLeases, 50);
    return {
        open,
        state,
        refused,
        /** Writes as the operator does; the answer is the acknowledgement. */
        write: (key, value) => change([{ key, value: Buffer.from(value).toString("base64") }], []),
        remove: key => change([], [key]),
        item(key) {
            const item = items.get(key);
            return item && { ...item, text: Buffer.from(item.value, "base64").toString("utf8") };
        },
        keys: () => [...items.keys()],
        compact() {
            dropped = revision;
            for (const watch of [...watches]) {
                watch();
            }
        },
        close() {
            clearInterval(sweep);
            for (const server of servers) {
                server.close();
            }
        },
    };
}
