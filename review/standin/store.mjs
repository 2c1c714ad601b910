// A stand-in for the platform's metadata store (PROTOCOL.md, "The platform's metadata store"), in memory.
import { Buffer } from "node:buffer";
import { createServer } from "node:http";
import { clearTimeout, setTimeout } from "node:timers";
import { URL } from "node:url";

const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const MAX_ENTRIES = 32;
const HISTORY_MS = 20_000;

/** Starts a store on `ip:port`; `valueBytes` is the largest value that it takes. */
export async function startStore({
    ip,
    port,
    valueBytes = 1_048_576,
    ttlMinMs = 1_000,
    onRefused = () => {},
}) {
    const items = new Map();
    const leases = new Map();
    const waiting = new Set();
    let events = [];
    let revision = 100;
    let firstKnown = revision;
    let nextLease = 1;

    function record(event) {
        events.push({ ...event, at: Date.now() });
        while (events.length > 0 && Date.now() - events[0].at > HISTORY_MS) {
            firstKnown = events.shift().revision;
        }
        for (const wake of [...waiting]) {
            wake();
        }
    }

    function dropLease(id) {
        const lease = leases.get(id);
        if (!lease) {
            return;
        }
        clearTimeout(lease.timer);
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            commit([], keys);
        }
    }

    function keepLease(id) {
        const lease = leases.get(id);
        clearTimeout(lease.timer);
        lease.timer = setTimeout(() => dropLease(id), lease.ttlMs);
    }

    function commit(puts, removes) {
        revision += 1;
        const changed = [];
        for (const { key, value, lease = 0 } of puts) {
            const created = items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease };
            items.set(key, item);
            changed.push(item);
        }
        for (const key of removes) {
            if (items.delete(key)) {
                changed.push({ key, revision, tombstone: true });
            }
        }
        for (const event of changed) {
            record(event);
        }
        return revision;
    }

    function range(prefix, after) {
        const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
        const page = [];
        let bytes = 0;
        for (const key of keys) {
            const item = items.get(key);
            bytes += item.value.length;
            if (page.length >= PAGE_ITEMS || (page.length > 0 && bytes > PAGE_BYTES)) {
                return { items: page, truncated: true, current_rev: revision };
            }
            page.push(item);
        }
        return { items: page, truncated: false, current_rev: revision };
    }

    function watch(prefix, after, waitMs, answer) {
        if (after < firstKnown && after < revision) {
            answer(410, {});
            return;
        }
        const find = () => events.filter(event => event.revision > after && event.key.startsWith(prefix));
        const finish = () => {
            clearTimeout(timer);
            waiting.delete(wake);
            const found = find().map(({ at: _at, ...event }) => event);
            answer(200, { events: found, current_rev: revision });
        };
        const wake = () => {
            if (find().length > 0) {
                finish();
            }
        };
        const timer = setTimeout(finish, waitMs);
        waiting.add(wake);
        wake();
    }

    function transact({ expected_rev = [], puts = [], remove = [] }, answer) {
        const isTooLarge = puts.some(({ value }) => Buffer.byteLength(value, "base64") > valueBytes);
        if (expected_rev.length + puts.length + remove.length > MAX_ENTRIES || isTooLarge) {
            onRefused({ keys: puts.map(put => [put.key, Buffer.byteLength(put.value, "base64")]) });
            answer(400, {});
            return;
        }
        const isForbidden = [...puts.map(put => put.key), ...remove].some(key => /^(op|servers)\//.test(key));
        if (isForbidden) {
            answer(403, {});
            return;
        }
        if (puts.some(({ lease }) => lease > 0 && !leases.has(lease))) {
            answer(404, {});
            return;
        }
        if (expected_rev.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision)) {
            const current = expected_rev.map(row => items.get(row.key) ?? { key: row.key, revision: 0 });
            answer(412, { items: current });
            return;
        }
        answer(200, { revision: commit(puts, remove) });
    }

    function serve(method, url, text, answer) {
        const path = url.pathname;
        const query = url.searchParams;
        if (method === "GET" && path === "/v1/kv-key") {
            const item = items.get(query.get("key"));
            answer(item ? 200 : 404, { ...item, current_rev: revision });
        } else if (method === "GET" && path === "/v1/kv-range") {
            answer(200, range(query.get("prefix") ?? "", query.get("after") ?? ""));
        } else if (method === "GET" && path === "/v1/kv-watch") {
            watch(
                query.get("prefix") ?? "",
                Number(query.get("after")),
                Number(query.get("wait_ms")),
                answer,
            );
        } else if (method === "POST" && path === "/v1/kv-txn") {
            transact(JSON.parse(text), answer);
        } else if (method === "POST" && path === "/v1/kv-lease") {
            const ttlMs = Math.max(ttlMinMs, JSON.parse(text).ttl_ms);
            const lease = nextLease++;
            leases.set(lease, { ttlMs, timer: undefined });
            keepLease(lease);
            answer(200, { lease, ttl_ms: ttlMs });
        } else if (path.startsWith("/v1/kv-keep/") || path.startsWith("/v1/kv-lease-end/")) {
            const lease = Number(path.split("/").at(-1));
            if (!leases.has(lease)) {
                answer(404, {});
                return;
            }
            if (method === "DELETE") {
                dropLease(lease);
            } else {
                keepLease(lease);
            }
            answer(200, {});
        } else {
            answer(404, {});
        }
    }

    const server = createServer((request, response) => {
        const chunks = [];
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const answer = (status, body) => {
                if (!response.writableEnded) {
                    response.writeHead(status, { "content-type": "application/json" });
                    response.end(JSON.stringify(body));
                }
            };
            const url = new URL(request.url, "http://store");
            serve(request.method, url, Buffer.concat(chunks).toString("utf8"), answer);
        });
    });
    await new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, ip, resolve);
    });
    return {
        address: `${ip}:${server.address().port}`,
        /** Writes an item as the operator does; the return of this call is the ack. */
        write(key, value) {
            const text = Buffer.from(JSON.stringify(value), "utf8").toString("base64");
            return commit([{ key, value: text }], []);
        },
        /** Reads an item, for the record only. */
        read(key) {
            const item = items.get(key);
            return item && JSON.parse(Buffer.from(item.value, "base64").toString("utf8"));
        },
        close() {
            for (const lease of leases.values()) {
                clearTimeout(lease.timer);
            }
            server.close();
            server.closeAllConnections();
        },
    };
}
