import { GatewayError, type Comparison, type KeySpace, type Operation } from "./keySpace.ts";

/** Parsed request body of one call; the fields are those of the published etcd v3 messages. */
export interface GatewayBody {
    key?: string;
    range_end?: string;
    compare?: Comparison[];
    success?: Operation[];
    failure?: Operation[];
    TTL?: string;
    ID?: string;
}

/** Serves one unary call of the v3 JSON gateway. */
export type GatewayRoute = (body: GatewayBody) => object;

/** Handlers of the unary calls that the stand-in serves, by path. Replies omit fields with default values. */
export function createGatewayRoutes(keySpace: KeySpace): Record<string, GatewayRoute> {
    const header = () => ({
        cluster_id: "1",
        member_id: "1",
        revision: String(keySpace.revision()),
        raft_term: "1",
    });
    return {
        "/v3/kv/range"(body) {
            const kvs = keySpace.range(body.key ?? "", body.range_end);
            return kvs.length > 0
                ? { header: header(), kvs, count: String(kvs.length) }
                : { header: header() };
        },
        "/v3/kv/txn"(body) {
            const succeeded = keySpace.transact(body.compare ?? [], body.success ?? [], body.failure ?? []);
            return succeeded ? { header: header(), succeeded } : { header: header() };
        },
        "/v3/lease/grant"(body) {
            const seconds = Number(body.TTL);
            return { header: header(), ID: keySpace.grant(seconds), TTL: String(seconds) };
        },
        "/v3/lease/keepalive"(body) {
            const seconds = keySpace.keepAlive(body.ID ?? "");
            const result = { header: header(), ID: body.ID };
            return { result: seconds > 0 ? { ...result, TTL: String(seconds) } : result };
        },
        "/v3/lease/revoke"(body) {
            if (!keySpace.revoke(body.ID ?? "")) {
                throw new GatewayError(404, 5, "etcdserver: requested lease not found");
            }
            return { header: header() };
        },
    };
}
