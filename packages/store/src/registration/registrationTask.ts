import { Left, Right, type Either } from "purify-ts/Either";
import { z } from "zod";
import {
    forgetAbsences,
    updatePresence,
    type EntryPresence,
    type Registration,
} from "@tanagerdeck/decisions/fleet/entryPresence";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { isAddress } from "@tanagerdeck/runtime/http/listener";
import type { Log } from "@tanagerdeck/runtime/log/log";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";
import { jitteredInterval } from "../store/reconnectDelay.ts";
import type { Store } from "../store/storeTypes.ts";

/** TTL of the lease of a registration. */
export const REGISTRATION_LEASE_SECONDS = 10;
const RENEW_INTERVAL_MS = 3_000;
const LIST_INTERVAL_MS = 3_000;

/** Messages of the registration task. */
export type RegistrationMessage =
    | { kind: "renew" }
    | { kind: "renewed"; result: Either<Failure, string | undefined> }
    | { kind: "list" }
    | { kind: "listed"; result: Either<Failure, Registration[]> }
    /** Returns the other entries that are registered, or were shortly before. */
    | { kind: "get"; reply: Reply<Registration[]> }
    /** Revokes the registration; replies once the platform has replied or the call has failed. */
    | { kind: "close"; reply: Reply<void> }
    | { kind: "closed"; reply: Reply<void> };

/** Dependencies of the registration task. */
export interface RegistrationOptions {
    environment: string;
    registration: Registration;
    store: Store;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Called with the other entries that are registered, or were shortly before. */
    onChange: (others: Registration[]) => void;
    /** Called once for each entry that is considered gone; other entries take over its jobs. */
    onGone: (entry: Registration) => void;
}

interface State {
    lease: string | undefined;
    presences: Map<string, EntryPresence>;
    listing: boolean;
    options: RegistrationOptions;
}

type Context = TaskContext<RegistrationMessage>;

/** Key prefix of the registrations of an environment. */
export function registrationPrefix(environment: string): string {
    return `${environment}/entries/`;
}

/** Starts the task that keeps an entry registered under a lease and tracks the other registrations. */
export function startRegistrationTask(options: RegistrationOptions): Task<RegistrationMessage> {
    const task = startTask<State, RegistrationMessage>({
        name: "registration",
        state: { lease: undefined, presences: new Map(), listing: false, options },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "renew" });
    task.send({ kind: "list" });
    return {
        ...task,
        async stop() {
            await task.ask((reply: Reply<void>) => ({ kind: "close", reply }));
            await task.stop();
        },
    };
}

const handlers: Handlers<State, RegistrationMessage> = {
    renew(state, _message, context) {
        const { lease, options } = state;
        context.start(
            () => (lease === undefined ? register(options) : renew(options.store, lease)),
            result => ({ kind: "renewed", result }),
        );
    },
    renewed(state, { result }, context) {
        result.ifLeft(problem => logPlatformFailure(state, problem));
        result.ifRight(lease => {
            if (lease === undefined) {
                state.options.log.warn("The lease of the registration expired; registering again.");
            }
            state.lease = lease;
        });
        context.after(jitteredInterval(RENEW_INTERVAL_MS, state.options.random), { kind: "renew" });
    },
    list(state, _message, context) {
        context.start(
            () => listRegistrations(state.options),
            result => ({ kind: "listed", result }),
        );
    },
    listed(state, { result }, context) {
        result.ifLeft(problem => {
            logPlatformFailure(state, problem);
            state.presences = forgetAbsences(state.presences);
        });
        result.ifRight(listed => applyListing(state, listed, context));
        context.after(jitteredInterval(LIST_INTERVAL_MS, state.options.random), { kind: "list" });
    },
    get(state, message) {
        message.reply(presentEntries(state));
    },
    close(state, { reply }, context) {
        const { lease, options } = state;
        if (lease === undefined) {
            reply();
            return;
        }
        context.start(
            () => options.store.revokeLease(lease),
            () => ({ kind: "closed", reply }),
        );
    },
    closed(_state, { reply }) {
        reply();
    },
};

function applyListing(state: State, listed: Registration[], context: Context): void {
    const { registration, onChange, onGone, log } = state.options;
    const others = listed.filter(({ name }) => name !== registration.name);
    const update = updatePresence(state.presences, others, context.clock.now());
    state.presences = update.present;
    onChange(presentEntries(state));
    for (const entry of update.gone) {
        log.warn("An entry is gone.", { entry: entry.name, incarnation: entry.incarnation });
        onGone(entry);
    }
}

function presentEntries(state: State): Registration[] {
    return [...state.presences.values()].map(({ registration }) => registration);
}

function logPlatformFailure(state: State, problem: Failure): void {
    state.options.log.warn("Renewing or listing the registrations failed.", { detail: problem.detail });
}

/** Renews a lease; returns undefined if it has expired. */
async function renew(store: Store, lease: string): Promise<Either<Failure, string | undefined>> {
    const renewed = await store.renewLease(lease);
    return renewed.map(isAlive => (isAlive ? lease : undefined));
}

/**
 * Registers under a new lease, unless another incarnation holds the name. If a call whose reply was lost has already
 * written this incarnation's key, the key is overwritten and bound to the new lease.
 */
async function register(options: RegistrationOptions): Promise<Either<Failure, string | undefined>> {
    const { store, registration, environment } = options;
    const key = `${registrationPrefix(environment)}${registration.name}`;
    const read = await store.get(key);
    if (read.isLeft()) {
        return read;
    }
    const stored = read.unsafeCoerce();
    const holder = stored && decodeRegistration(registration.name, stored.value);
    if (holder && holder.incarnation !== registration.incarnation) {
        return Left(
            failure("not-run", "name-in-use", `Another entry is registered as ${registration.name}.`),
        );
    }
    const granted = await store.grantLease(REGISTRATION_LEASE_SECONDS);
    if (granted.isLeft()) {
        return granted;
    }
    const lease = granted.unsafeCoerce();
    const value = JSON.stringify(registration);
    const written = await store.write([{ key, value, expectedVersion: stored?.version ?? 0, lease }]);
    return written.chain(result =>
        result === "written"
            ? Right<string | undefined, Failure>(lease)
            : Left(
                  failure("not-run", "name-in-use", `Another entry is registering as ${registration.name}.`),
              ),
    );
}

async function listRegistrations({
    store,
    environment,
    log,
}: RegistrationOptions): Promise<Either<Failure, Registration[]>> {
    const prefix = registrationPrefix(environment);
    const listed = await store.list(prefix);
    return listed.map(values => {
        const registrations: Registration[] = [];
        for (const { key, value } of values) {
            const registration = decodeRegistration(key.slice(prefix.length), value);
            if (registration) {
                registrations.push(registration);
            } else {
                log.warn("A registration cannot be decoded and is ignored.", { key });
            }
        }
        return registrations;
    });
}

const registrationSchema = z.object({
    name: z.string(),
    incarnation: z.string(),
    address: z.string().refine(isAddress, "not an address with a port"),
});

/** Decodes the registration of the entry `name`; undefined if another writer left something else under its key. */
function decodeRegistration(name: string, value: string): Registration | undefined {
    try {
        const { data } = registrationSchema.safeParse(JSON.parse(value));
        return data?.name === name ? data : undefined;
    } catch {
        return undefined;
    }
}
