import type { ClientAccount, Manifest, Queue } from "./manifestTypes.ts";

/** Lookup tables of a manifest. */
export interface ManifestIndex {
    manifest: Manifest;
    /** Queues by host, those with the longest path prefix first. */
    queuesByHost: Map<string, Queue[]>;
    queuesByName: Map<string, Queue>;
    accountsByKey: Map<string, ClientAccount>;
}

/**
 * Result of the access check of a call. `clientAccount` is the owner of the key, if a known key was given; `path` is
 * the rest of the call's path after the queue's prefix.
 */
export type Access =
    | { kind: "granted"; queue: Queue; clientAccount: string | undefined; path: string }
    | { kind: "no-queue" }
    | { kind: "unknown-key" };

/** Builds the lookup tables of a manifest. */
export function indexManifest(manifest: Manifest): ManifestIndex {
    const queuesByHost = new Map<string, Queue[]>();
    for (const queue of manifest.queues) {
        const queues = queuesByHost.get(queue.host) ?? [];
        queues.push(queue);
        queuesByHost.set(queue.host, queues);
    }
    for (const queues of queuesByHost.values()) {
        queues.sort((left, right) => right.pathPrefix.length - left.pathPrefix.length);
    }
    const accountsByKey = new Map<string, ClientAccount>();
    for (const account of manifest.clientAccounts) {
        for (const key of account.keys) {
            accountsByKey.set(key, account);
        }
    }
    const queuesByName = new Map(manifest.queues.map(queue => [queue.name, queue]));
    return { manifest, queuesByHost, queuesByName, accountsByKey };
}

/** Finds the queue of a call by host and longest path prefix, and checks the key unless the queue is public. */
export function checkAccess(
    index: ManifestIndex,
    call: { host: string; path: string; key: string | undefined },
): Access {
    const queues = index.queuesByHost.get(call.host) ?? [];
    const queue = queues.find(candidate => call.path.startsWith(candidate.pathPrefix));
    if (!queue) {
        return { kind: "no-queue" };
    }
    const account = call.key === undefined ? undefined : index.accountsByKey.get(call.key);
    if (!account && !queue.public) {
        return { kind: "unknown-key" };
    }
    const path = call.path.slice(queue.pathPrefix.length);
    return { kind: "granted", queue, clientAccount: account?.name, path };
}
