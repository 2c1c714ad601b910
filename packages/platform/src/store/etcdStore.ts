import { Either, Left, Right } from "purify-ts/Either";
import { Pool } from "undici";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { PlatformOperation } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Store, StoredValue, Write } from "./storeTypes.ts";

/** Time limit of one call; the service answers in milliseconds. */
const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS = 8;
const NOT_SENT_CODES = new Set(["ECONNREFUSED", "EHOSTUNREACH", "ENETUNREACH", "UND_ERR_CONNECT_TIMEOUT"]);

interface KeyValue {
    key: string;
    value?: string;
    mod_revision: string;
}

/** Client of the etcd v3 JSON gateway at `ip:port`. `countCall` is told of each call and each open watch. */
export function createEtcdStore(address: string, countCall: (operation: PlatformOperation) => void): Store {
    const pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS,
        connect: { timeout: CONNECT_TIMEOUT_MS },
    });

    async function call<T>(
        operation: PlatformOperation,
        path: string,
        body: unknown,
    ): Promise<Either<Failure, T>> {
        countCall(operation);
        try {
            const response = await pool.request({
                path,
                method: "POST",
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
                signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return Left(storeFailure("may-have-run", `status ${response.statusCode}`));
            }
            return Right((await response.body.json()) as T);
        } catch (error) {
            const code = (error as { code?: string }).code ?? String(error);
            return Left(storeFailure(NOT_SENT_CODES.has(code) ? "not-run" : "may-have-run", code));
        }
    }

    return {
        async get(key) {
            const reply = await call<{ kvs?: KeyValue[] }>("read", "/v3/kv/range", { key: encode(key) });
            return reply.map(value => value.kvs?.map(decodeValue)[0]);
        },
        async list(prefix) {
            const range = { key: encode(prefix), range_end: encode(rangeEnd(prefix)) };
            const reply = await call<{ kvs?: KeyValue[] }>("read", "/v3/kv/range", range);
            return reply.map(value => (value.kvs ?? []).map(decodeValue));
        },
        async write(writes) {
            const body = { compare: writes.flatMap(encodeCondition), success: writes.map(encodeWrite) };
            const reply = await call<{ succeeded?: boolean }>("write", "/v3/kv/txn", body);
            return reply.map(value => (value.succeeded ? "written" : "conflict"));
        },
        async grantLease(seconds) {
            const reply = await call<{ ID: string }>("write", "/v3/lease/grant", { TTL: String(seconds) });
            return reply.map(value => value.ID);
        },
        async renewLease(lease) {
            const reply = await call<{ result?: { TTL?: string } }>("write", "/v3/lease/keepalive", {
                ID: lease,
            });
            return reply.map(value => Number(value.result?.TTL ?? 0) > 0);
        },
        async revokeLease(lease) {
            const reply = await call<object>("write", "/v3/lease/revoke", { ID: lease });
            return reply.map(() => true);
        },
        watch(prefix, changed, ended) {
            countCall("watch");
            const abort = new AbortController();
            followWatch(pool, prefix, abort.signal, changed).then(ended, ended);
            return () => abort.abort();
        },
        close: () => pool.destroy(),
    };
}

async function followWatch(
    pool: Pool,
    prefix: string,
    signal: AbortSignal,
    changed: () => void,
): Promise<void> {
    const range = { key: encode(prefix), range_end: encode(rangeEnd(prefix)) };
    const response = await pool.request({
        path: "/v3/watch",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ create_request: range }),
        bodyTimeout: 0,
        signal,
    });
    for await (const _chunk of response.body) {
        if (signal.aborted) {
            return;
        }
        changed();
    }
}

function storeFailure(verdict: "not-run" | "may-have-run", detail: string): Failure {
    return failure(verdict, "platform-unavailable", `The platform's service failed: ${detail}.`);
}

function encode(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

function decodeValue(value: KeyValue): StoredValue {
    return {
        key: Buffer.from(value.key, "base64").toString("utf8"),
        value: Buffer.from(value.value ?? "", "base64").toString("utf8"),
        version: Number(value.mod_revision),
    };
}

/** The first key after all keys with this ASCII prefix. */
function rangeEnd(prefix: string): string {
    const last = prefix.charCodeAt(prefix.length - 1);
    return prefix.slice(0, -1) + String.fromCharCode(last + 1);
}

function encodeCondition(write: Write): object[] {
    if (write.expectedVersion === undefined) {
        return [];
    }
    const version = String(write.expectedVersion);
    return [{ key: encode(write.key), target: "MOD", result: "EQUAL", mod_revision: version }];
}

function encodeWrite(write: Write): object {
    if (write.value === undefined) {
        return { request_delete_range: { key: encode(write.key) } };
    }
    return { request_put: { key: encode(write.key), value: encode(write.value), lease: write.lease } };
}
