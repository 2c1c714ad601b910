/** Number of usage records on the platform. */
export const USAGE_BUCKETS = 64;

/** A uniform, unsigned 32-bit hash of a text. */
export type TextHash = (text: string) => number;

/** The usage record that holds an agent's counters. */
export function bucketForAgent(agent: string, hash: TextHash): number {
    return hash(agent) % USAGE_BUCKETS;
}

/** The entry that flushes a bucket, by rendezvous hashing: an entry that goes moves only its own buckets. */
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
