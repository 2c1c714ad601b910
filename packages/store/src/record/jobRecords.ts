import { Either } from "purify-ts/Either";
import { isEnded, type JobRecord } from "@tanagerdeck/decisions/gang/jobTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Store, StoredValue } from "../store/storeTypes.ts";

/** Lifetime of the leases under which the records of ended jobs are stored. */
export const RETENTION_SECONDS = 7 * 86_400;
/** Records that end within this time share a lease. */
const LEASE_SHARING_WINDOW_MS = 86_400_000;

/** A job record with its version for compare-and-swap. */
export interface StoredJob {
    record: JobRecord;
    version: number;
}

/** Result of a write; `unavailable` means that it may still take effect. */
export type RecordWriteResult =
    | { kind: "written"; version: number }
    | { kind: "conflict"; stored: StoredJob | undefined }
    | { kind: "unavailable" };

/** Job records on the platform. */
export interface JobRecords {
    read(clientAccount: string, id: string): Promise<Either<Failure, StoredJob | undefined>>;
    /** Writes a record if its version is still `version`; 0 means that there must be none. */
    write(record: JobRecord, version: number): Promise<RecordWriteResult>;
    list(): Promise<Either<Failure, StoredJob[]>>;
}

/**
 * Job records of one environment in the platform's service. The record of an ended job is stored under a lease
 * that nobody renews, so that the service deletes it six to seven days later.
 */
export function createJobRecords(store: Store, environment: string, clock: Clock): JobRecords {
    let retention: { lease: Promise<string | undefined>; grantedAt: number } | undefined;

    const prefix = `${environment}/jobs/`;
    const recordKey = (clientAccount: string, id: string) =>
        `${prefix}${clientAccount}/${encodeURIComponent(id)}`;

    /** The current lease for ended jobs; undefined if the platform does not grant one. */
    function getRetentionLease(): Promise<string | undefined> {
        const now = clock.now();
        if (!retention || now - retention.grantedAt >= LEASE_SHARING_WINDOW_MS) {
            const granted = store.grantLease(RETENTION_SECONDS);
            const lease = granted.then(result => result.toMaybe().extract());
            retention = { lease, grantedAt: now };
        }
        return retention.lease;
    }

    async function read(clientAccount: string, id: string): Promise<Either<Failure, StoredJob | undefined>> {
        const value = await store.get(recordKey(clientAccount, id));
        return value.map(stored => (stored ? decode(stored) : undefined));
    }

    return {
        read,
        async write(record, version) {
            const key = recordKey(record.clientAccount, record.id);
            const value = JSON.stringify(record);
            const lease = isEnded(record.state) ? await getRetentionLease() : undefined;
            if (isEnded(record.state) && lease === undefined) {
                retention = undefined;
                return { kind: "unavailable" };
            }
            await store.write([{ key, value, expectedVersion: version, lease }]);
            // Whatever the reply was, the stored write id tells whether this write took effect.
            const stored = await read(record.clientAccount, record.id);
            const result = stored.caseOf<RecordWriteResult>({
                Left: () => ({ kind: "unavailable" }),
                Right: found => resolveWrite(found, record.writeId, version),
            });
            if (result.kind === "unavailable") {
                // The platform may have lost the lease, and refuses writes under it.
                retention = undefined;
            }
            return result;
        },
        async list() {
            const values = await store.list(prefix);
            return values.map(stored => stored.map(decode));
        },
    };
}

/** An unchanged version after a write means that the write has not arrived yet, or never will. */
function resolveWrite(found: StoredJob | undefined, writeId: string, version: number): RecordWriteResult {
    if (found?.record.writeId === writeId) {
        return { kind: "written", version: found.version };
    }
    if ((found?.version ?? 0) === version) {
        return { kind: "unavailable" };
    }
    return { kind: "conflict", stored: found };
}

function decode(stored: StoredValue): StoredJob {
    return { record: JSON.parse(stored.value) as JobRecord, version: stored.version };
}
