import type { IncomingMessage, ServerResponse } from "node:http";
import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import type { Item, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { MemoryStore } from "../keyvalue/memoryStore.ts";

const BODY_LIMIT_BYTES = 4 * 1024 * 1024;
const LEASE_KEEP_PATH = "/v1/kv-keep/";
const LEASE_END_PATH = "/v1/kv-lease-end/";

/** Request body of a transaction; values are base64. */
interface TransactionBody {
    expected_rev: { key: string; revision: number }[];
    puts: { key: string; value: string; lease?: number }[];
    remove: string[];
}

/**
 * Serves an in-memory store at `address` with the HTTP interface that the platform's documentation describes. Each call
 * is executed after `delayMs`.
 */
export function startStoreServer(
    address: string,
    store: MemoryStore,
    delayMs: () => number = () => 0,
): Promise<Listener> {
    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        if (delayMs() > 0) {
            await new Promise(resolve => setTimeout(resolve, delayMs()));
        }
        const url = new URL(request.url ?? "", "http://store");
        const text = (await readBody(request, BODY_LIMIT_BYTES)) ?? "";
        const query = url.searchParams;
        if (url.pathname === "/v1/kv-key") {
            sendReply(response, await store.get(query.get("key") ?? ""), item =>
                item ? [200, { ...encodeItem(item), current_rev: store.revision() }] : [404, {}],
            );
        } else if (url.pathname === "/v1/kv-range") {
            const page = await store.page(query.get("prefix") ?? "", query.get("after") ?? undefined, false);
            sendReply(response, page, ({ items, hasMore, revision }) => [
                200,
                { items: items.map(encodeItem), truncated: hasMore, current_rev: revision },
            ]);
        } else if (url.pathname === "/v1/kv-watch") {
            const after = Number(query.get("after"));
            const reply = await store.watch(query.get("prefix") ?? "", after, Number(query.get("wait_ms")));
            sendReply(response, reply, changes =>
                changes.kind === "compacted"
                    ? [410, {}]
                    : [
                          200,
                          {
                              events: changes.changes.map(({ key, value, revision }) =>
                                  value === undefined
                                      ? { key, revision, tombstone: true }
                                      : encodeItem({ key, value, revision }),
                              ),
                              current_rev: changes.revision,
                          },
                      ],
            );
        } else if (url.pathname === "/v1/kv-txn") {
            const reply = await store.commit(decodeTransaction(JSON.parse(text) as TransactionBody));
            sendReply(response, reply, result => {
                if (result.kind === "committed") {
                    return [200, { revision: result.revision }];
                }
                return result.kind === "conflict"
                    ? [412, { items: result.items.map(encodeItem) }]
                    : [404, {}];
            });
        } else if (url.pathname === "/v1/kv-lease") {
            const { ttl_ms } = JSON.parse(text) as { ttl_ms: number };
            sendReply(response, await store.grantLease(ttl_ms), lease => [200, { lease, ttl_ms }]);
        } else if (url.pathname.startsWith(LEASE_KEEP_PATH)) {
            const lease = Number(url.pathname.slice(LEASE_KEEP_PATH.length));
            sendReply(response, await store.renewLease(lease), kept => [kept === "kept" ? 200 : 404, {}]);
        } else if (url.pathname.startsWith(LEASE_END_PATH)) {
            await store.revokeLease(Number(url.pathname.slice(LEASE_END_PATH.length)));
            sendJson(response, 200, {});
        } else {
            sendJson(response, 404, {});
        }
    }

    /** Answers 503 for a call that was not executed; closes the connection if the outcome is unknown. */
    function sendReply<T>(
        response: ServerResponse,
        result: Either<Failure, T>,
        encode: (value: T) => [number, object],
    ): void {
        result.caseOf<void>({
            Left({ verdict }) {
                if (verdict === "not-run") {
                    sendJson(response, 503, {});
                } else {
                    response.socket?.destroy();
                }
            },
            Right(value) {
                const [status, body] = encode(value);
                sendJson(response, status, body);
            },
        });
    }

    return startListener(address, (request, response) => {
        serve(request, response).catch(() => request.socket.destroy());
    });
}

function encodeItem({ key, value, revision }: Item): object {
    return {
        key,
        value: Buffer.from(value, "utf8").toString("base64"),
        revision,
        created: revision,
        lease: 0,
    };
}

function decodeTransaction(body: TransactionBody): Transaction {
    return {
        expected: body.expected_rev,
        puts: body.puts.map(({ key, value, lease }) => ({
            key,
            value: Buffer.from(value, "base64").toString("utf8"),
            lease: lease === 0 ? undefined : lease,
        })),
        removes: body.remove,
    };
}
