import { Left, Right, type Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ConfigurationStatus } from "@tanagerdeck/peer/link/entryRouter";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import type { FreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import type { SimulatedCluster, SimulatedEntry } from "./clusterTypes.ts";

/** Time after which a simulated call without a reply fails. */
const CALL_TIMEOUT_MS = 1_000;

type CallResult<T> = Promise<Either<Failure, T>>;

/** Wraps a store so that its replies and watch events are held back while the process is frozen. */
export function createFreezableStore(store: Store, clock: FreezableClock): Store {
    return {
        get: key => clock.deliver(store.get(key)),
        list: prefix => clock.deliver(store.list(prefix)),
        write: writes => clock.deliver(store.write(writes)),
        grantLease: seconds => clock.deliver(store.grantLease(seconds)),
        renewLease: lease => clock.deliver(store.renewLease(lease)),
        revokeLease: lease => clock.deliver(store.revokeLease(lease)),
        watch: (prefix, changed, ended) =>
            store.watch(
                prefix,
                () => clock.run(changed),
                () => clock.run(ended),
            ),
        close: () => store.close(),
    };
}

/** Returns the configuration status of an entry. */
export function configurationStatusOf(node: SimulatedEntry): Promise<ConfigurationStatus> {
    return node.control.configuration.ask(reply => ({ kind: "own-status", reply }));
}

/** Fetches the configuration of entry `to` if it is newer than `afterRevision`, with the configured reply delay. */
export async function fetchConfiguration(
    cluster: SimulatedCluster,
    from: string,
    to: string,
    afterRevision: number,
): CallResult<Configuration | undefined> {
    const delayMs = cluster.fetchReplyDelayMs.get(to) ?? 0;
    const result = await callSimulatedEntry<Configuration | undefined>(cluster, from, to, async node => {
        const current = await node.control.configuration.ask<Configuration | undefined>(reply => ({
            kind: "get",
            reply,
        }));
        return current && current.revision > afterRevision ? current : undefined;
    });
    if (delayMs > 0) {
        await new Promise<void>(resolve => void cluster.clock.startTimer(delayMs, resolve));
    }
    return result;
}

/**
 * Calls an entry. The call fails at once if the entry does not run, and after the timeout if one of the two
 * processes is disconnected or the called one is frozen.
 */
export async function callSimulatedEntry<T>(
    cluster: SimulatedCluster,
    from: string,
    to: string,
    serve: (node: SimulatedEntry) => Promise<T>,
): CallResult<T> {
    const node = cluster.entries.get(to);
    if (!node) {
        return Left(unreachableFailure("not-run"));
    }
    const timedOut = new Promise<Either<Failure, T>>(resolve => {
        cluster.clock.startTimer(CALL_TIMEOUT_MS, () => resolve(Left(unreachableFailure("may-have-run"))));
    });
    if (cluster.disconnected.has(from) || cluster.disconnected.has(to)) {
        return timedOut;
    }
    const delivered = node.clock.deliver(Promise.resolve());
    return Promise.race([
        timedOut,
        delivered.then(() => serve(node)).then(value => Right<T, Failure>(value)),
    ]);
}

/** Creates the failure of a call that got no reply. */
export function unreachableFailure(verdict: "not-run" | "may-have-run"): Failure {
    return failure(verdict, "unreachable", "The call failed.");
}
