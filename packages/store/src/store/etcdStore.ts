import { Either, Left, Right } from "purify-ts/Either";
import { Pool } from "undici";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { PlatformOperation } from "@tanagerdeck/runtime/metrics/metricsTypes";
import { requestWithIdleTimeout } from "@tanagerdeck/runtime/http/idleTimeoutRequest";
import { NOT_SENT_CODES } from "@tanagerdeck/runtime/http/notSentCodes";
import { REPLY_LIMIT_MS } from "../keyvalue/keyValueTypes.ts";
import {
    decodeValue,
    encodeBase64,
    encodeTransaction,
    prefixRange,
    type KeyValue,
    type WatchLine,
} from "./gatewayCodec.ts";
import type { Store } from "./storeTypes.ts";

/** Time without progress after which a call fails; the service usually replies within milliseconds. */
const CALL_TIMEOUT_MS = 2_000;
const CONNECT_TIMEOUT_MS = 1_000;
const CONNECTIONS = 8;
/** Statuses of calls that the gateway refused without applying anything. */
const REFUSED_STATUSES = new Set([400, 401, 403, 404, 412, 429]);

/** Creates a client of the etcd v3 JSON gateway at `ip:port`; `countCall` is called for each call and each watch. */
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
            const request = {
                path,
                method: "POST" as const,
                headers: { "content-type": "application/json" },
                body: JSON.stringify(body),
            };
            const { status, text } = await requestWithIdleTimeout(pool, request, {
                firstByteMs: CALL_TIMEOUT_MS,
                idleMs: CALL_TIMEOUT_MS,
                signal: AbortSignal.timeout(REPLY_LIMIT_MS),
            });
            if (status !== 200) {
                const verdict = REFUSED_STATUSES.has(status) ? "not-run" : "may-have-run";
                return Left(storeFailure(verdict, `status ${status}`));
            }
            return Right(JSON.parse(text) as T);
        } catch (error) {
            const code = (error as { code?: string }).code ?? String(error);
            return Left(storeFailure(NOT_SENT_CODES.has(code) ? "not-run" : "may-have-run", code));
        }
    }

    return {
        async get(key) {
            const reply = await call<{ kvs?: KeyValue[] }>("read", "/v3/kv/range", {
                key: encodeBase64(key),
            });
            return reply.map(value => value.kvs?.map(decodeValue)[0]);
        },
        async list(prefix) {
            const reply = await call<{ kvs?: KeyValue[] }>("read", "/v3/kv/range", prefixRange(prefix));
            return reply.map(value => (value.kvs ?? []).map(decodeValue));
        },
        async write(writes) {
            const reply = await call<{ succeeded?: boolean }>(
                "write",
                "/v3/kv/txn",
                encodeTransaction(writes),
            );
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
        watch(prefix, onChange, onEnd) {
            countCall("watch");
            const abort = new AbortController();
            followWatch(pool, prefix, abort.signal, onChange).then(onEnd, onEnd);
            return () => abort.abort();
        },
        close: () => pool.destroy(),
    };
}

/** Reads a watch stream until it ends; the service sends one JSON object per line. */
async function followWatch(
    pool: Pool,
    prefix: string,
    signal: AbortSignal,
    onChange: () => void,
): Promise<void> {
    const response = await pool.request({
        path: "/v3/watch",
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify({ create_request: prefixRange(prefix) }),
        headersTimeout: CALL_TIMEOUT_MS,
        bodyTimeout: 0,
        signal,
    });
    if (response.statusCode !== 200) {
        await response.body.dump();
        return;
    }
    let partialLine = "";
    const decoder = new TextDecoder();
    for await (const chunk of response.body as AsyncIterable<Uint8Array>) {
        const lines = (partialLine + decoder.decode(chunk, { stream: true })).split("\n");
        partialLine = lines.pop() ?? "";
        for (const line of lines) {
            const { result, error } = JSON.parse(line) as WatchLine;
            if (signal.aborted || error || result?.canceled) {
                return;
            }
            if (result?.created || result?.events) {
                onChange();
            }
        }
    }
}

function storeFailure(verdict: "not-run" | "may-have-run", detail: string): Failure {
    return failure(verdict, "platform-unavailable", `The platform's service failed: ${detail}.`);
}
