import { Left, Right, type Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { ConfigurationStatus } from "@tanagerdeck/peer/link/entryRouter";
import type { Store } from "@tanagerdeck/store/store/storeTypes";
import type { FreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import type { ControlWorld, EntryNode } from "./worldTypes.ts";

const CALL_TIMEOUT_MS = 1_000;

type Result<T> = Promise<Either<Failure, T>>;

/** Holds replies and changes back while the process is frozen. */
export function gateStore(store: Store, clock: FreezableClock): Store {
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

export function status(node: EntryNode): Promise<ConfigurationStatus> {
    return node.control.configuration.ask(reply => ({ kind: "own-status", reply }));
}

export async function fetchFrom(
    world: ControlWorld,
    from: string,
    to: string,
    afterRevision: number,
): Result<Configuration | undefined> {
    const delayMs = world.fetchDelayMs.get(to) ?? 0;
    const result = await callEntryNode<Configuration | undefined>(world, from, to, async node => {
        const held = await node.control.configuration.ask<Configuration | undefined>(reply => ({
            kind: "get",
            reply,
        }));
        return held && held.revision > afterRevision ? held : undefined;
    });
    if (delayMs > 0) {
        await new Promise<void>(resolve => void world.clock.startTimer(delayMs, resolve));
    }
    return result;
}

/** Calls an entry; a cut connection or a frozen process is noticed by the time limit. */
export async function callEntryNode<T>(
    world: ControlWorld,
    from: string,
    to: string,
    serve: (node: EntryNode) => Promise<T>,
): Result<T> {
    const node = world.entries.get(to);
    if (!node) {
        return Left(unreachable("not-run"));
    }
    const expired = new Promise<Either<Failure, T>>(resolve => {
        world.clock.startTimer(CALL_TIMEOUT_MS, () => resolve(Left(unreachable("may-have-run"))));
    });
    if (world.cut.has(from) || world.cut.has(to)) {
        return expired;
    }
    const arrived = node.clock.deliver(Promise.resolve());
    return Promise.race([expired, arrived.then(() => serve(node)).then(value => Right<T, Failure>(value))]);
}

export function unreachable(verdict: "not-run" | "may-have-run"): Failure {
    return failure(verdict, "unreachable", "The call failed.");
}
