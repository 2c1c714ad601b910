import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task } from "@tanagerdeck/runtime/task/task";
import type { RenewReply, KeyValueStore } from "../keyvalue/keyValueTypes.ts";
import { encodeContent, type Registration } from "../replica/storedValueCodec.ts";

/** Messages of the presence task. */
export type PresenceMessage =
    | { kind: "register" }
    | { kind: "registered"; result: Either<Failure, number> }
    | { kind: "renew"; lease: number }
    | { kind: "renewed"; lease: number; result: Either<Failure, RenewReply> }
    | { kind: "leave"; reply: Reply<void> };

/** Dependencies of the presence task. */
export interface PresenceOptions {
    store: KeyValueStore;
    key: string;
    registration: Registration;
    clock: Clock;
    log: Log;
    newWriteId: () => string;
}

interface PresenceState {
    /** The lease that is renewed; undefined until the registration is written. */
    lease: number | undefined;
    /** Whether a registration is being written. */
    isRegistering: boolean;
    hasLeft: boolean;
}

/** TTL of the lease: a registration disappears this long after the last renewal. */
const LEASE_TTL_MS = 6_000;
/** Renewal interval; it bounds how long after a store outage an expired registration is noticed and written again. */
const RENEW_MS = 1_500;
const RETRY_MS = 400;

/** Starts the task that keeps this process registered in the store under a lease. */
export function startPresenceTask(options: PresenceOptions): Task<PresenceMessage> {
    const { store, key, registration, clock, log, newWriteId } = options;

    /** Writes the registration conditionally, so that a write executed late cannot bind the key to an older lease. */
    async function register(): Promise<Either<Failure, number>> {
        const [found, granted] = await Promise.all([store.get(key), store.grantLease(LEASE_TTL_MS)]);
        if (found.isLeft() || granted.isLeft()) {
            return found.isLeft() ? found : granted;
        }
        const lease = granted.unsafeCoerce();
        const expected = [{ key, revision: found.unsafeCoerce()?.revision ?? 0 }];
        const value = encodeContent("registration", registration, newWriteId());
        const reply = await store.commit({ expected, puts: [{ key, value, lease }], removes: [] });
        return reply.chain(({ kind }) =>
            kind === "committed"
                ? Right(lease)
                : Left(failure("not-run", "revision-conflict", `The registration was not written: ${kind}.`)),
        );
    }

    const task = startTask<PresenceState, PresenceMessage>({
        name: "presence",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { lease: undefined, isRegistering: false, hasLeft: false },
        handlers: {
            register(state, _message, context) {
                if (state.hasLeft || state.isRegistering) {
                    return;
                }
                state.isRegistering = true;
                state.lease = undefined;
                context.start(register, result => ({ kind: "registered", result }));
            },
            registered(state, { result }, context) {
                state.isRegistering = false;
                result.caseOf<void>({
                    Left: () => void context.after(RETRY_MS, { kind: "register" }),
                    Right(lease) {
                        if (state.hasLeft) {
                            context.start(
                                () => store.revokeLease(lease),
                                () => ({ kind: "register" }),
                            );
                            return;
                        }
                        state.lease = lease;
                        context.after(RENEW_MS, { kind: "renew", lease });
                    },
                });
            },
            renew(state, { lease }, context) {
                if (state.lease === lease && !state.hasLeft) {
                    context.start(
                        () => store.renewLease(lease),
                        result => ({ kind: "renewed", lease, result }),
                    );
                }
            },
            renewed(state, { lease, result }, context) {
                if (state.lease !== lease) {
                    return;
                }
                const reply = result.toMaybe().extract();
                if (reply === "ended") {
                    log.warn("The lease of the registration expired; registering again.", { key });
                    context.post({ kind: "register" });
                    return;
                }
                context.after(reply === "kept" ? RENEW_MS : RETRY_MS, { kind: "renew", lease });
            },
            leave(state, { reply }, context) {
                state.hasLeft = true;
                const { lease } = state;
                if (lease === undefined) {
                    reply();
                    return;
                }
                context.start(
                    async () => {
                        await store.revokeLease(lease);
                        reply();
                    },
                    () => ({ kind: "register" }),
                );
            },
        },
    });
    task.send({ kind: "register" });
    return task;
}
