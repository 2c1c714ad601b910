import type { ClientAccount, Manifest, Queue } from "./manifestTypes.ts";

/** A manifest prepared for lookups. */
export interface ManifestIndex {
    manifest: Manifest;
    /** Queues of a host, longest path prefix first. */
    queuesByHost: Map<string, Queue[]>;
    queuesByName: Map<string, Queue>;
    accountsByKey: Map<string, ClientAccount>;
}

/** Whether a call may proceed, and for whom. */
export type Access =
    | { kind: "granted"; queue: Queue; clientAccount: string | undefined; path: string }
    | { kind: "no-queue" }
    | { kind: "unknown-key" };

/** Prepares a manifest for lookups. */
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

/** Finds the queue of a call and checks its key. `path` in the result is what follows the queue's prefix. */
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
