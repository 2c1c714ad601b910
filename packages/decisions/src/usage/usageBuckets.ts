/** Number of usage records in the platform's store. Each record, or bucket, holds the counters of several agents. */
export const USAGE_BUCKETS = 64;

/** Hash function with uniform, unsigned 32-bit values. */
export type TextHash = (text: string) => number;

/** The number of the bucket that holds an agent's counters. */
export function bucketForAgent(agent: string, hash: TextHash): number {
    return hash(agent) % USAGE_BUCKETS;
}

/**
 * Chooses the entry that writes a bucket to the store, by rendezvous hashing: when an entry disappears, only its own
 * buckets move to other entries.
 */
export function flushingEntry(bucket: number, entries: string[], hash: TextHash): string | undefined {
    let best: string | undefined;
    let bestScore = -1;
    for (const entry of entries) {
        const score = hash(`${bucket}/${entry}`);
        if (score > bestScore || (score === bestScore && best !== undefined && entry < best)) {
            best = entry;
            bestScore = score;
        }
    }
    return best;
}
