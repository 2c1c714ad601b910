import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { elapsedSince, instantNow, type Instant } from "@tanagerdeck/runtime/clock/instant";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, KeepReply, KeyValueStore } from "../keyvalue/keyValueTypes.ts";
import { commitSettled } from "../keyvalue/settledCommit.ts";
import { encodeContent, type Registration } from "../replica/recordCodec.ts";
import { LEADER_KEY } from "../replica/storeKeys.ts";

/**
 * What a process is told about its own leadership.
 * - `lead`: it leads in a new term.
 * - `suspend`: its lease cannot be renewed in time; nobody else may lead yet, but this process must not act.
 * - `resume`: the lease was renewed after all, in the same term.
 * - `lost`: the term has ended.
 */
export type LeadershipEvent = { kind: "lead"; term: number } | { kind: "suspend" | "resume" | "lost" };

/** Messages of the leadership task. */
export type LeadershipMessage =
    | { kind: "leader-changed"; change: Change }
    | { kind: "loaded" }
    | { kind: "campaign" }
    | { kind: "campaigned"; result: Either<Failure, Win | undefined>; since: Instant }
    | { kind: "renew" }
    | { kind: "renewed"; lease: number; result: Either<Failure, KeepReply>; since: Instant }
    | { kind: "check" }
    | { kind: "resign"; reply: Reply<void> };

/** A won campaign. */
interface Win {
    lease: number;
    /** Revision of the leader key; it rises from term to term and serves as the fencing token. */
    term: number;
}

/** Dependencies of the leadership task. */
export interface LeadershipOptions {
    store: KeyValueStore;
    own: Registration;
    clock: Clock;
    log: Log;
    /** A unique text for each write. */
    newWriteId: () => string;
    /** Delay before a campaign, so that the candidate that suits best tends to win. */
    campaignDelayMs: () => number;
    notify: (event: LeadershipEvent) => void;
}

interface LeadershipState {
    phase: "idle" | "follower" | "campaigning" | "leading" | "suspended" | "resigned";
    /** Revision of the leader key as last seen, 0 if it is absent. */
    seenTerm: number;
    win: Win | undefined;
    /** Time from which the lease surely still runs for its whole length. */
    renewedAt: Instant;
}

/** Time to live of the leader's lease; nothing is placed for this long after a failure. The store grants 1 s or more. */
const LEASE_TTL_MS = 1_200;
/** The holder stops acting this long before the lease can end. */
const LEASE_MARGIN_MS = 200;
const RENEW_MS = 250;
/** A leader that may not act asks more often, as everything waits for it when the store returns. */
const SUSPENDED_RENEW_MS = 150;
const CAMPAIGN_RETRY_MS = 300;
/** Time for which a campaign whose outcome is unclear is repeated. */
const CAMPAIGN_LIMIT_MS = 3_000;

/** Starts the task that campaigns for the leader's lease and keeps it. */
export function startLeadershipTask(options: LeadershipOptions): Task<LeadershipMessage> {
    const { store, own, clock, log, newWriteId, campaignDelayMs, notify } = options;

    async function campaign(): Promise<Either<Failure, Win | undefined>> {
        const granted = await store.grantLease(LEASE_TTL_MS);
        if (granted.isLeft()) {
            return granted as unknown as Either<Failure, undefined>;
        }
        const lease = granted.unsafeCoerce();
        const value = encodeContent("leader", own, newWriteId());
        const committed = await commitSettled(
            store,
            {
                expected: [{ key: LEADER_KEY, revision: 0 }],
                puts: [{ key: LEADER_KEY, value, lease }],
                removes: [],
            },
            { clock, giveUpAt: clock.now() + CAMPAIGN_LIMIT_MS },
        );
        return committed.map(reply =>
            reply.kind === "committed" ? { lease, term: reply.revision } : undefined,
        );
    }

    function startCampaign(state: LeadershipState, context: TaskContext<LeadershipMessage>): void {
        state.phase = "campaigning";
        const since = instantNow(clock);
        context.start(campaign, result => ({ kind: "campaigned", result, since }));
    }

    function loseTerm(state: LeadershipState, reason: string): void {
        log.warn("The leadership has ended.", { term: state.win?.term, reason });
        state.win = undefined;
        state.phase = "follower";
        notify({ kind: "lost" });
    }

    function isCurrent(state: LeadershipState): boolean {
        return elapsedSince(clock, state.renewedAt) < LEASE_TTL_MS - LEASE_MARGIN_MS;
    }

    return startTask<LeadershipState, LeadershipMessage>({
        name: "leadership",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { phase: "idle", seenTerm: 0, win: undefined, renewedAt: instantNow(clock) },
        handlers: {
            loaded(state, _message, context) {
                if (state.phase === "idle") {
                    state.phase = "follower";
                    context.post({ kind: "campaign" });
                }
            },
            "leader-changed"(state, { change }, context) {
                state.seenTerm = change.value === undefined ? 0 : change.revision;
                const isHolder = state.phase === "leading" || state.phase === "suspended";
                if (isHolder && state.seenTerm !== state.win?.term && change.revision > state.win!.term) {
                    loseTerm(state, "another process holds the leader key, or it is gone");
                }
                if (state.phase === "follower" && state.seenTerm === 0) {
                    context.after(campaignDelayMs(), { kind: "campaign" });
                }
            },
            campaign(state, _message, context) {
                if (state.phase === "follower" && state.seenTerm === 0) {
                    startCampaign(state, context);
                }
            },
            campaigned(state, { result, since }, context) {
                if (state.phase !== "campaigning") {
                    return;
                }
                state.phase = "follower";
                const win = result.toMaybe().extract();
                if (!win) {
                    context.after(CAMPAIGN_RETRY_MS, { kind: "campaign" });
                    return;
                }
                state.win = win;
                state.seenTerm = win.term;
                state.renewedAt = since;
                state.phase = "leading";
                log.info("This process leads.", { term: win.term, lease: win.lease });
                notify({ kind: "lead", term: win.term });
                context.post({ kind: "renew" });
                context.after(RENEW_MS, { kind: "check" });
            },
            renew(state, _message, context) {
                const lease = state.win?.lease;
                if (lease === undefined) {
                    return;
                }
                const since = instantNow(clock);
                context.start(
                    () => store.keepLease(lease),
                    result => ({ kind: "renewed", lease, result, since }),
                );
                const pauseMs = state.phase === "suspended" ? SUSPENDED_RENEW_MS : RENEW_MS;
                context.after(pauseMs, { kind: "renew" });
            },
            renewed(state, { lease, result, since }) {
                if (state.win?.lease !== lease) {
                    return;
                }
                const reply = result.toMaybe().extract();
                if (reply === "ended") {
                    loseTerm(state, "the lease has ended");
                    return;
                }
                if (reply !== "kept") {
                    return;
                }
                if (since.now > state.renewedAt.now) {
                    state.renewedAt = since;
                }
                if (state.phase === "suspended" && isCurrent(state)) {
                    state.phase = "leading";
                    log.info("The leader's lease is renewed again.", { term: state.win.term });
                    notify({ kind: "resume" });
                }
            },
            check(state, _message, context) {
                if (!state.win) {
                    return;
                }
                if (state.phase === "leading" && !isCurrent(state)) {
                    state.phase = "suspended";
                    log.warn("The leader's lease was not renewed in time.", { term: state.win.term });
                    notify({ kind: "suspend" });
                }
                context.after(RENEW_MS / 4, { kind: "check" });
            },
            resign(state, { reply }, context) {
                const { win } = state;
                state.phase = "resigned";
                state.win = undefined;
                if (!win) {
                    reply();
                    return;
                }
                log.info("This process resigns.", { term: win.term });
                notify({ kind: "lost" });
                context.start(
                    async () => {
                        await store.endLease(win.lease);
                        reply();
                    },
                    () => ({ kind: "check" }),
                );
            },
        },
    });
}
