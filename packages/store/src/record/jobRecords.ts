import { Either } from "purify-ts/Either";
import { isEnded, type JobRecord } from "@tanagerdeck/decisions/gang/jobTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Store, StoredValue } from "../store/storeTypes.ts";

/** TTL of the leases under which the records of ended jobs are stored. */
export const RETENTION_SECONDS = 7 * 86_400;
/** Records of jobs that end within this time share a lease, which saves a grant for each record. */
const LEASE_SHARING_WINDOW_MS = 86_400_000;

/** A job record with the version that a compare-and-swap must expect. */
export interface StoredJob {
    record: JobRecord;
    version: number;
}

/** Result of a write; after `unavailable` the write may still take effect. */
export type RecordWriteResult =
    | { kind: "written"; version: number }
    | { kind: "conflict"; stored: StoredJob | undefined }
    | { kind: "unavailable" };

/** Access to the job records on the platform. */
export interface JobRecords {
    read(clientAccount: string, id: string): Promise<Either<Failure, StoredJob | undefined>>;
    /** Writes a record if the stored version is still `version`; 0 means that the record must not exist. */
    write(record: JobRecord, version: number): Promise<RecordWriteResult>;
    list(): Promise<Either<Failure, StoredJob[]>>;
}

/**
 * Creates the access to the job records of one environment. The record of an ended job is stored under a lease
 * that is never renewed, so that the service deletes it six to seven days later.
 */
export function createJobRecords(store: Store, environment: string, clock: Clock): JobRecords {
    let retention: { lease: Promise<string | undefined>; grantedAt: number } | undefined;

    const prefix = `${environment}/jobs/`;
    const recordKey = (clientAccount: string, id: string) =>
        `${prefix}${clientAccount}/${encodeURIComponent(id)}`;

    /** Returns the current lease for ended jobs, or undefined if the platform does not grant one. */
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
            // The reply may be lost or ambiguous; the stored write id shows whether this write took effect.
            const stored = await read(record.clientAccount, record.id);
            const result = stored.caseOf<RecordWriteResult>({
                Left: () => ({ kind: "unavailable" }),
                Right: found => resolveWrite(found, record.writeId, version),
            });
            if (result.kind === "unavailable") {
                // The lease may have expired on the platform, which then refuses writes under it.
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

/** Compares the stored record with a write. If the version is unchanged, the write may still arrive, or never. */
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
