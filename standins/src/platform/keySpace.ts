/** A stored key in the encoding of the v3 JSON gateway: 64-bit numbers are strings, keys and values base64. */
export interface StoredKey {
    key: string;
    value: string;
    create_revision: string;
    mod_revision: string;
    version: string;
    lease?: string;
}

/** One comparison of a transaction. Only `EQUAL` on `MOD`, `VERSION` and `CREATE` is served. */
export interface Comparison {
    key: string;
    target?: "MOD" | "VERSION" | "CREATE";
    result?: "EQUAL";
    mod_revision?: string;
    version?: string;
    create_revision?: string;
}

/** One operation of a transaction. */
export interface Operation {
    request_put?: { key: string; value?: string; lease?: string };
    request_delete_range?: { key: string; range_end?: string };
    request_range?: { key: string; range_end?: string };
}

/** A change that is sent to watches. */
export interface KeyEvent {
    type?: "DELETE";
    kv: Partial<StoredKey> & { key: string; mod_revision: string };
}

/** An error reply of the gateway; the request had no effect. */
export class GatewayError extends Error {
    readonly status: number;
    readonly code: number;

    constructor(status: number, code: number, message: string) {
        super(message);
        this.status = status;
        this.code = code;
    }
}

/** The keys, leases and revisions of the service, without transport. */
export interface KeySpace {
    revision(): number;
    range(key: string, rangeEnd?: string): StoredKey[];
    /** Applies `success` or `failure` as one revision. */
    transact(compare: Comparison[], success: Operation[], failure: Operation[]): boolean;
    grant(seconds: number): string;
    /** Renews a lease; returns the granted seconds, or 0 if the lease has expired. */
    keepAlive(lease: string): number;
    revoke(lease: string): boolean;
    expireLeases(): void;
    leases(): string[];
}

interface Lease {
    seconds: number;
    expiresAt: number;
}

/** Builds an empty key space. `onChange` receives the events of each revision; `now` returns milliseconds. */
export function createKeySpace(now: () => number, onChange: (events: KeyEvent[]) => void): KeySpace {
    const keys = new Map<string, StoredKey>();
    const leases = new Map<string, Lease>();
    let revision = 1;
    let nextLease = 7_587_000_000_001;

    function range(key: string, rangeEnd?: string): StoredKey[] {
        const found = [...keys.values()].filter(stored => isInRange(stored.key, key, rangeEnd));
        return found.sort((a, b) => Buffer.compare(decodeBase64(a.key), decodeBase64(b.key)));
    }

    function matches(comparison: Comparison): boolean {
        const stored = keys.get(comparison.key);
        if (comparison.target === "VERSION") {
            return (stored?.version ?? "0") === (comparison.version ?? "0");
        }
        if (comparison.target === "CREATE") {
            return (stored?.create_revision ?? "0") === (comparison.create_revision ?? "0");
        }
        return (stored?.mod_revision ?? "0") === (comparison.mod_revision ?? "0");
    }

    function put(write: NonNullable<Operation["request_put"]>, modRevision: string): KeyEvent {
        const previous = keys.get(write.key);
        const stored: StoredKey = {
            key: write.key,
            value: write.value ?? "",
            create_revision: previous?.create_revision ?? modRevision,
            mod_revision: modRevision,
            version: String(Number(previous?.version ?? 0) + 1),
            ...(write.lease && write.lease !== "0" ? { lease: write.lease } : {}),
        };
        keys.set(write.key, stored);
        return { kv: stored };
    }

    function remove(found: StoredKey[], modRevision: string): KeyEvent[] {
        return found.map(stored => {
            keys.delete(stored.key);
            return { type: "DELETE", kv: { key: stored.key, mod_revision: modRevision } };
        });
    }

    function validate(operations: Operation[]): void {
        const written = new Set<string>();
        for (const { request_put: write } of operations) {
            if (!write) {
                continue;
            }
            if (written.has(write.key)) {
                throw new GatewayError(400, 3, "etcdserver: duplicate key given in txn request");
            }
            if (write.lease && write.lease !== "0" && !leases.has(write.lease)) {
                throw new GatewayError(404, 5, "etcdserver: requested lease not found");
            }
            written.add(write.key);
        }
    }

    function apply(operations: Operation[]): void {
        validate(operations);
        const modRevision = String(revision + 1);
        const events: KeyEvent[] = [];
        for (const operation of operations) {
            if (operation.request_put) {
                events.push(put(operation.request_put, modRevision));
            }
            if (operation.request_delete_range) {
                const { key, range_end } = operation.request_delete_range;
                events.push(...remove(range(key, range_end), modRevision));
            }
        }
        publish(events);
    }

    function publish(events: KeyEvent[]): void {
        if (events.length > 0) {
            revision++;
            onChange(events);
        }
    }

    function endLease(id: string): void {
        leases.delete(id);
        const attached = [...keys.values()].filter(stored => stored.lease === id);
        publish(remove(attached, String(revision + 1)));
    }

    return {
        revision: () => revision,
        range,
        transact(compare, success, failure) {
            const succeeded = compare.every(matches);
            apply(succeeded ? success : failure);
            return succeeded;
        },
        grant(seconds) {
            const id = String(nextLease++);
            leases.set(id, { seconds, expiresAt: now() + seconds * 1_000 });
            return id;
        },
        keepAlive(id) {
            const lease = leases.get(id);
            if (!lease) {
                return 0;
            }
            lease.expiresAt = now() + lease.seconds * 1_000;
            return lease.seconds;
        },
        revoke(id) {
            const known = leases.has(id);
            endLease(id);
            return known;
        },
        expireLeases() {
            for (const [id, lease] of leases) {
                if (lease.expiresAt <= now()) {
                    endLease(id);
                }
            }
        },
        leases: () => [...leases.keys()],
    };
}

/** Whether a base64 key lies in a range; the service orders keys by their decoded bytes. */
export function isInRange(key: string, start: string, end: string | undefined): boolean {
    if (end === undefined || end === "") {
        return key === start;
    }
    const name = decodeBase64(key);
    return Buffer.compare(name, decodeBase64(start)) >= 0 && Buffer.compare(name, decodeBase64(end)) < 0;
}

function decodeBase64(text: string): Buffer {
    return Buffer.from(text, "base64");
}
