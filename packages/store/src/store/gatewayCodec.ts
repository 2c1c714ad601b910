import type { StoredValue, Write } from "./storeTypes.ts";

/** One key of a range reply; the gateway omits fields with their default value. */
export interface KeyValue {
    key: string;
    value?: string;
    mod_revision?: string;
}

/** One message, sent as a line, of a watch stream. */
export interface WatchLine {
    result?: { created?: boolean; canceled?: boolean; events?: object[] };
    error?: object;
}

/** Encodes a key or value; the gateway transports them as base64. */
export function encodeBase64(text: string): string {
    return Buffer.from(text, "utf8").toString("base64");
}

/** Returns the range of all keys with a prefix that ends in an ASCII character. */
export function prefixRange(prefix: string): { key: string; range_end: string } {
    const last = prefix.charCodeAt(prefix.length - 1);
    const end = prefix.slice(0, -1) + String.fromCharCode(last + 1);
    return { key: encodeBase64(prefix), range_end: encodeBase64(end) };
}

/** Decodes one key of a range reply. */
export function decodeValue(value: KeyValue): StoredValue {
    return {
        key: Buffer.from(value.key, "base64").toString("utf8"),
        value: Buffer.from(value.value ?? "", "base64").toString("utf8"),
        version: Number(value.mod_revision ?? 0),
    };
}

/** Encodes a transaction that applies all writes if all expected versions match. */
export function encodeTransaction(writes: Write[]): object {
    return { compare: writes.flatMap(encodeCondition), success: writes.map(encodeWrite) };
}

function encodeCondition(write: Write): object[] {
    if (write.expectedVersion === undefined) {
        return [];
    }
    const version = String(write.expectedVersion);
    return [{ key: encodeBase64(write.key), target: "MOD", result: "EQUAL", mod_revision: version }];
}

function encodeWrite(write: Write): object {
    if (write.value === undefined) {
        return { request_delete_range: { key: encodeBase64(write.key) } };
    }
    return {
        request_put: { key: encodeBase64(write.key), value: encodeBase64(write.value), lease: write.lease },
    };
}
