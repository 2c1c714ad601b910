import { Left, Right } from "purify-ts/Either";
import { newerConfiguration } from "@tanagerdeck/decisions/document/configurationRevision";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import {
    PEER_REACHABLE_FOR_MS,
    workRefusal,
    type PeerEntryStatus,
    type WorkRefusal,
} from "@tanagerdeck/decisions/document/workRefusal";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startTask, type Handlers, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { ConfigurationStatus } from "../link/entryRouter.ts";
import type {
    EntryConfigurationMessage,
    EntryConfigurationOptions,
    StatusAnswer,
} from "./entryConfigurationTypes.ts";

/** Longest interval between two status requests to the other entries. */
const EXCHANGE_INTERVAL_MS = 5_000;
/** Each interval is shortened by a random part of up to 20 %. */
const EXCHANGE_JITTER = 0.2;

const REFUSAL_DETAILS: Record<WorkRefusal, string> = {
    "no-configuration": "This entry knows no configuration yet.",
    "stale-configuration": "This entry cannot confirm that its configuration is the newest.",
};

/** What is known of one address of another entry. */
interface OtherEntry {
    /** Monotonic time at which the last answered status request was sent. */
    heardAt: number | undefined;
    platformReachable: boolean;
    /** The address leads back to this entry, such as through a load balancer. */
    isSelf: boolean;
}

interface State {
    current: Configuration | undefined;
    /** Latest monotonic time at which the held revision is known to have been the newest accepted one. */
    confirmedAt: number | undefined;
    adoptedAt: number;
    /** Monotonic time at which the last successful read of the platform was sent. */
    platformHeardAt: number | undefined;
    /** Whether the latest read of the platform failed. */
    platformFailed: boolean;
    others: Map<string, OtherEntry>;
    options: EntryConfigurationOptions;
}

type Context = TaskContext<EntryConfigurationMessage>;

/** Starts the task that owns an entry's configuration and keeps it confirmed by the platform and other entries. */
export function startEntryConfigurationTask(
    options: EntryConfigurationOptions,
): Task<EntryConfigurationMessage> {
    const task = startTask<State, EntryConfigurationMessage>({
        name: "entry-configuration",
        state: {
            current: undefined,
            confirmedAt: undefined,
            adoptedAt: 0,
            platformHeardAt: undefined,
            platformFailed: false,
            others: new Map(options.seeds.map(address => [address, createOtherEntry()])),
            options,
        },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "exchange" });
    return task;
}

const handlers: Handlers<State, EntryConfigurationMessage> = {
    "platform-read"(state, { read }, context) {
        state.platformFailed = read.result.isLeft();
        read.result.ifRight(configuration => {
            const revision = configuration?.revision ?? 0;
            state.platformHeardAt = read.askedAt;
            adopt(state, configuration, context);
            if (revision < (state.current?.revision ?? 0) && read.askedAt > state.adoptedAt) {
                state.options.log.error("The platform returned a revision older than the held one.", {
                    revision,
                });
                return;
            }
            recordConfirmation(state, revision, read.askedAt);
        });
    },
    offer(state, message, context) {
        adopt(state, message.configuration, context);
    },
    entries(state, message) {
        const known = new Set([...message.addresses, ...state.options.seeds]);
        for (const address of state.others.keys()) {
            if (!known.has(address)) {
                state.others.delete(address);
            }
        }
        for (const address of known) {
            if (!state.others.has(address)) {
                state.others.set(address, createOtherEntry());
            }
        }
    },
    exchange(state, _message, context) {
        requestStatuses(state, context);
        const { random } = state.options;
        context.after(EXCHANGE_INTERVAL_MS * (1 - EXCHANGE_JITTER * random()), { kind: "exchange" });
    },
    refresh(state, _message, context) {
        state.options.readPlatform();
        requestStatuses(state, context);
    },
    status(state, message, context) {
        message.result.ifRight(status =>
            applyStatus(state, message.address, message.askedAt, status, context),
        );
    },
    fetched(state, message, context) {
        message.result.ifRight(configuration => {
            adopt(state, configuration, context);
            recordPeerConfirmation(state, message.statusAnswer);
        });
    },
    get(state, message) {
        message.reply(state.current);
    },
    admit(state, message, context) {
        const now = context.clock.now();
        const refusal = workRefusal(
            state.current,
            elapsedSince(state.confirmedAt, now),
            peerStatuses(state, now),
        );
        message.reply(
            refusal || !state.current
                ? Left(
                      failure(
                          "not-run",
                          refusal ?? "no-configuration",
                          REFUSAL_DETAILS[refusal ?? "no-configuration"],
                      ),
                  )
                : Right(state.current),
        );
    },
    "own-status"(state, message, context) {
        const now = context.clock.now();
        const heardAgoMs = elapsedSince(state.platformHeardAt, now);
        message.reply({
            entry: state.options.entry,
            revision: state.current?.revision ?? 0,
            confirmedAgoMs: elapsedSince(state.confirmedAt, now),
            platformReachable:
                !state.platformFailed && heardAgoMs !== undefined && heardAgoMs <= PEER_REACHABLE_FOR_MS,
        });
    },
};

function requestStatuses(state: State, context: Context): void {
    const askedAt = context.clock.now();
    for (const address of state.others.keys()) {
        context.start(
            () => state.options.askStatus(address),
            result => ({ kind: "status", address, askedAt, result }),
        );
    }
}

function applyStatus(
    state: State,
    address: string,
    askedAt: number,
    status: ConfigurationStatus,
    context: Context,
): void {
    if (status.entry === state.options.entry) {
        state.others.set(address, { ...createOtherEntry(), isSelf: true });
        return;
    }
    const { platformReachable, revision, confirmedAgoMs } = status;
    if (state.others.has(address)) {
        state.others.set(address, { heardAt: askedAt, platformReachable, isSelf: false });
    }
    const confirmedAt = confirmedAgoMs === undefined ? undefined : askedAt - confirmedAgoMs;
    const statusAnswer: StatusAnswer = { address, revision, confirmedAt };
    const heldRevision = state.current?.revision ?? 0;
    if (revision > heldRevision) {
        context.start(
            () => state.options.fetchConfiguration(address, heldRevision),
            result => ({ kind: "fetched", statusAnswer, result }),
        );
        return;
    }
    recordPeerConfirmation(state, statusAnswer);
}

function adopt(state: State, offered: Configuration | undefined, context: Context): void {
    const next = newerConfiguration(state.current, offered);
    if (!next || next === state.current) {
        return;
    }
    state.current = next;
    state.adoptedAt = context.clock.now();
    state.options.log.info("A configuration was adopted.", { revision: next.revision });
    state.options.onAdopted(next);
}

function recordPeerConfirmation(state: State, { revision, confirmedAt }: StatusAnswer): void {
    if (confirmedAt !== undefined) {
        recordConfirmation(state, revision, confirmedAt);
    }
}

/** Records that no newer revision had been accepted at `at`, since a request sent then was answered with `revision`. */
function recordConfirmation(state: State, revision: number, at: number): void {
    if (
        revision <= (state.current?.revision ?? 0) &&
        (state.confirmedAt === undefined || at > state.confirmedAt)
    ) {
        state.confirmedAt = at;
    }
}

function peerStatuses(state: State, now: number): PeerEntryStatus[] {
    return [...state.others.values()]
        .filter(other => !other.isSelf)
        .map(({ heardAt, platformReachable }) => ({
            answeredAgoMs: elapsedSince(heardAt, now),
            platformReachable,
        }));
}

function createOtherEntry(): OtherEntry {
    return { heardAt: undefined, platformReachable: false, isSelf: false };
}

function elapsedSince(at: number | undefined, now: number): number | undefined {
    return at === undefined ? undefined : now - at;
}
