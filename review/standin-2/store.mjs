// Stand-in of the platform's metadata store: keys, ranges, watches, transactions and leases over HTTP/1.1.
import { createServer } from "node:http";
import { Buffer } from "node:buffer";
import { URL } from "node:url";
import { clearTimeout, setInterval, clearInterval, setTimeout } from "node:timers";

const PAGE_ITEMS = 500;
const MAX_ENTRIES = 32;

/** Starts the store at `ip:port`; `port` 0 takes a free one. */
export function startStore(ip, port = 0) {
    const items = new Map();
    const leases = new Map();
    const history = [];
    const watchers = new Set();
    const sockets = new Set();
    let revision = 1;
    let nextLease = 1;
    /** Called for each call before it is executed; may return `{ status }`, `{ drop: true }` or `{ lateMs }`. */
    const store = { intercept: undefined, calls: 0 };
    let downSince;

    function commit(puts, removes) {
        revision += 1;
        const events = [];
        for (const { key, value, lease } of puts) {
            const created = items.get(key)?.created ?? revision;
            const item = { key, value, revision, created, lease: lease ?? 0 };
            items.set(key, item);
            events.push(item);
        }
        for (const key of removes) {
            if (items.delete(key)) {
                events.push({ key, revision, tombstone: true });
            }
        }
        // All events of one transaction reach a watch together.
        history.push(...events);
        for (const wake of [...watchers]) {
            wake();
        }
        return revision;
    }

    function endLease(id) {
        leases.delete(id);
        const keys = [...items.values()].filter(item => item.lease === id).map(item => item.key);
        if (keys.length > 0) {
            commit([], keys);
        }
    }

    /** While the store is down it answers nothing, and leases pause. */
    function setDown(isDown) {
        if (isDown) {
            downSince = Date.now();
            return;
        }
        for (const lease of leases.values()) {
            lease.endsAt += Date.now() - downSince;
        }
        downSince = undefined;
    }

    const expiry = setInterval(() => {
        if (downSince !== undefined) {
            return;
        }
        for (const [id, lease] of leases) {
            if (lease.endsAt <= Date.now()) {
                endLease(id);
            }
        }
    }, 20);

    function transact({ expected_rev = [], puts = [], remove = [] }) {
        if (expected_rev.length + puts.length + remove.length > MAX_ENTRIES) {
            return [400, {}];
        }
        if (puts.some(({ lease }) => lease && !leases.has(lease))) {
            return [404, {}];
        }
        const differs = expected_rev.some(row => (items.get(row.key)?.revision ?? 0) !== row.revision);
        if (differs) {
            const current = expected_rev.map(({ key }) => items.get(key) ?? { key, revision: 0 });
            return [412, { items: current }];
        }
        return [200, { revision: commit(puts, remove) }];
    }

    function watch(query, send) {
        const prefix = query.get("prefix") ?? "";
        const after = Number(query.get("after"));
        const find = () => history.filter(event => event.revision > after && event.key.startsWith(prefix));
        // A watch that is waiting when the store goes down gets no answer.
        const answer = () => downSince === undefined && send(200, { events: find(), current_rev: revision });
        if (find().length > 0) {
            answer();
            return;
        }
        const finish = () => {
            watchers.delete(wake);
            clearTimeout(timer);
            answer();
        };
        const wake = () => find().length > 0 && finish();
        const timer = setTimeout(finish, Math.min(30_000, Number(query.get("wait_ms"))));
        watchers.add(wake);
    }

    function execute(method, url, body, send) {
        const { pathname, searchParams: query } = url;
        if (pathname === "/v1/kv-key") {
            const item = items.get(query.get("key"));
            send(item ? 200 : 404, item ? { ...item, current_rev: revision } : {});
        } else if (pathname === "/v1/kv-range") {
            const prefix = query.get("prefix") ?? "";
            const after = query.get("after") ?? "";
            const keys = [...items.keys()].filter(key => key.startsWith(prefix) && key > after).sort();
            const page = keys.slice(0, PAGE_ITEMS).map(key => items.get(key));
            send(200, { items: page, truncated: keys.length > PAGE_ITEMS, current_rev: revision });
        } else if (pathname === "/v1/kv-watch") {
            watch(query, send);
        } else if (pathname === "/v1/kv-txn") {
            send(...transact(JSON.parse(body)));
        } else if (pathname === "/v1/kv-lease") {
            const ttl = Math.max(1_000, JSON.parse(body).ttl_ms);
            const lease = nextLease++;
            leases.set(lease, { ttl, endsAt: Date.now() + ttl });
            send(200, { lease, ttl_ms: ttl });
        } else if (pathname.startsWith("/v1/kv-keep/")) {
            const lease = leases.get(Number(pathname.slice(12)));
            if (lease) {
                lease.endsAt = Date.now() + lease.ttl;
            }
            send(lease ? 200 : 404, {});
        } else if (pathname.startsWith("/v1/kv-lease-end/")) {
            const id = Number(pathname.slice(17));
            const known = leases.has(id);
            endLease(id);
            send(known ? 200 : 404, {});
        } else {
            send(404, {});
        }
    }

    const server = createServer((request, response) => {
        let body = "";
        request.on("data", chunk => (body += chunk));
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            const send = (status, reply) => {
                if (!response.destroyed) {
                    response.writeHead(status, { "content-type": "application/json" });
                    response.end(JSON.stringify(reply));
                }
            };
            store.calls += 1;
            if (downSince !== undefined) {
                return;
            }
            const fault = store.intercept?.({ method: request.method, path: url.pathname, url, body });
            if (fault?.status) {
                send(fault.status, {});
            } else if (fault?.reset) {
                request.socket.destroy();
            } else if (fault?.drop) {
                return;
            } else if (fault?.lateMs !== undefined) {
                setTimeout(() => execute(request.method, url, body, () => {}), fault.lateMs);
            } else {
                setTimeout(() => execute(request.method, url, body, send), 2);
            }
        });
    });
    server.on("connection", socket => {
        sockets.add(socket);
        socket.on("close", () => sockets.delete(socket));
    });
    return new Promise((resolve, reject) => {
        server.on("error", reject);
        server.listen(port, ip, () => {
            const address = `${ip}:${server.address().port}`;
            resolve(
                Object.assign(store, {
                    address,
                    setDown,
                    /** The operator's write, which bypasses the conditions. */
                    put: (key, text) =>
                        commit([{ key, value: Buffer.from(text, "utf8").toString("base64") }], []),
                    text: key => {
                        const item = items.get(key);
                        return item && Buffer.from(item.value, "base64").toString("utf8");
                    },
                    keys: prefix => [...items.keys()].filter(key => key.startsWith(prefix)).sort(),
                    close() {
                        clearInterval(expiry);
                        server.close();
                        for (const socket of sockets) {
                            socket.destroy();
                        }
                    },
                }),
            );
        });
    });
}
