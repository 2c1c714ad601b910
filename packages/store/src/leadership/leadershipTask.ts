import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { elapsedSince, instantNow, type Instant } from "@tanagerdeck/runtime/clock/instant";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Reply, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Change, RenewReply, KeyValueStore } from "../keyvalue/keyValueTypes.ts";
import { commitWithRetry } from "../keyvalue/commitWithRetry.ts";
import { encodeContent, type Registration } from "../replica/storedValueCodec.ts";
import { LEADER_KEY } from "../replica/storeKeys.ts";

/**
 * Changes in the leadership of this process.
 * - `lead`: this process leads in a new term. `formerTerm` is the latest earlier term that it knows of, if any.
 * - `suspend`: the lease was not renewed in time. No other process can lead yet, but this one must stop acting.
 * - `resume`: the lease was renewed after a `suspend`, and the term continues.
 * - `lost`: the term has ended.
 */
export type LeadershipEvent =
    { kind: "lead"; term: number; formerTerm: number | undefined } | { kind: "suspend" | "resume" | "lost" };

/** Messages of the leadership task. */
export type LeadershipMessage =
    | { kind: "leader-changed"; change: Change }
    | { kind: "loaded" }
    | { kind: "campaign" }
    | { kind: "campaigned"; result: Either<Failure, LeadershipGrant | undefined>; startedAt: Instant }
    | { kind: "renew" }
    | { kind: "renewed"; lease: number; result: Either<Failure, RenewReply>; startedAt: Instant }
    | { kind: "check" }
    | { kind: "resign"; reply: Reply<void> };

/** Lease and term of a won campaign. */
interface LeadershipGrant {
    lease: number;
    /** Revision of the leader key. It grows with each term and serves as the fencing token. */
    term: number;
}

/** Dependencies of the leadership task. */
export interface LeadershipOptions {
    store: KeyValueStore;
    registration: Registration;
    clock: Clock;
    log: Log;
    /** Returns a unique id for each write. */
    newWriteId: () => string;
    /** Delay before a campaign; the best-suited candidate has the shortest delay and tends to win. */
    campaignDelayMs: () => number;
    notify: (event: LeadershipEvent) => void;
}

interface LeadershipState {
    phase: "idle" | "follower" | "campaigning" | "leading" | "suspended" | "resigned";
    /** Last observed revision of the leader key; 0 if the key is absent. */
    observedTerm: number;
    /** Revision of the last observed change to the leader key, which may be its removal. */
    observedRevision: number;
    /** The latest two terms that were observed, this process's own included, in their order. */
    knownTerms: number[];
    grant: LeadershipGrant | undefined;
    /** Start of the last successful campaign or renewal; the lease runs at least `LEASE_TTL_MS` from here. */
    renewedAt: Instant;
}

/**
 * TTL of the leader's lease. After a leader fails, no job is placed until its lease has expired. The store's minimum is
 * 1 s.
 */
const LEASE_TTL_MS = 1_200;
/** The leader stops acting this long before its lease can expire. */
const LEASE_MARGIN_MS = 200;
const RENEW_INTERVAL_MS = 250;
/** Renewal interval of a suspended leader; shorter, since no job is planned until the first renewal that succeeds. */
const SUSPENDED_RENEW_MS = 150;
const CAMPAIGN_RETRY_MS = 300;
/** Longest time for which the write of the leader key is retried in a campaign. */
const CAMPAIGN_TIMEOUT_MS = 3_000;

/** Starts the task that campaigns for the leadership and renews the leader's lease. */
export function startLeadershipTask(options: LeadershipOptions): Task<LeadershipMessage> {
    const { store, registration, clock, log, newWriteId, campaignDelayMs, notify } = options;

    async function campaign(): Promise<Either<Failure, LeadershipGrant | undefined>> {
        const grantResult = await store.grantLease(LEASE_TTL_MS);
        if (grantResult.isLeft()) {
            return grantResult as unknown as Either<Failure, undefined>;
        }
        const lease = grantResult.unsafeCoerce();
        const value = encodeContent("leader", registration, newWriteId());
        const commitResult = await commitWithRetry(
            store,
            {
                expected: [{ key: LEADER_KEY, revision: 0 }],
                puts: [{ key: LEADER_KEY, value, lease }],
                removes: [],
            },
            { clock, giveUpAt: clock.now() + CAMPAIGN_TIMEOUT_MS },
        );
        return commitResult.map(reply =>
            reply.kind === "committed" ? { lease, term: reply.revision } : undefined,
        );
    }

    function startCampaign(state: LeadershipState, context: TaskContext<LeadershipMessage>): void {
        state.phase = "campaigning";
        const startedAt = instantNow(clock);
        context.start(campaign, result => ({ kind: "campaigned", result, startedAt }));
    }

    function handleTermLost(state: LeadershipState, reason: string): void {
        log.warn("The leadership has ended.", { term: state.grant?.term, reason });
        state.grant = undefined;
        state.phase = "follower";
        notify({ kind: "lost" });
    }

    function noteTerm(state: LeadershipState, term: number): void {
        if (term > (state.knownTerms.at(-1) ?? 0)) {
            state.knownTerms = [...state.knownTerms, term].slice(-2);
        }
    }

    function isLeaseSafelyHeld(state: LeadershipState): boolean {
        return elapsedSince(clock, state.renewedAt) < LEASE_TTL_MS - LEASE_MARGIN_MS;
    }

    return startTask<LeadershipState, LeadershipMessage>({
        name: "leadership",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: {
            phase: "idle",
            observedTerm: 0,
            observedRevision: 0,
            knownTerms: [],
            grant: undefined,
            renewedAt: instantNow(clock),
        },
        handlers: {
            loaded(state, _message, context) {
                if (state.phase === "idle") {
                    state.phase = "follower";
                    context.post({ kind: "campaign" });
                }
            },
            "leader-changed"(state, { change }, context) {
                state.observedTerm = change.value === undefined ? 0 : change.revision;
                state.observedRevision = change.revision;
                noteTerm(state, state.observedTerm);
                const holdsTerm = state.phase === "leading" || state.phase === "suspended";
                if (
                    holdsTerm &&
                    state.observedTerm !== state.grant?.term &&
                    change.revision > state.grant!.term
                ) {
                    handleTermLost(state, "the leader key was deleted or is held by another process");
                }
                if (state.phase === "follower" && state.observedTerm === 0) {
                    context.after(campaignDelayMs(), { kind: "campaign" });
                }
            },
            campaign(state, _message, context) {
                if (state.phase === "follower" && state.observedTerm === 0) {
                    startCampaign(state, context);
                }
            },
            campaigned(state, { result, startedAt }, context) {
                const grant = result.toMaybe().extract();
                if (state.phase !== "campaigning") {
                    if (grant) {
                        // Resigned meanwhile; without the revocation nobody could lead until the lease ends.
                        context.start(
                            () => store.revokeLease(grant.lease),
                            () => ({ kind: "check" }),
                        );
                    }
                    return;
                }
                state.phase = "follower";
                // A late reply may tell of a term whose end has been observed already.
                if (!grant || state.observedRevision > grant.term) {
                    context.after(CAMPAIGN_RETRY_MS, { kind: "campaign" });
                    return;
                }
                state.grant = grant;
                state.observedTerm = grant.term;
                state.renewedAt = startedAt;
                state.phase = "leading";
                log.info("This process leads.", { term: grant.term, lease: grant.lease });
                noteTerm(state, grant.term);
                const formerTerm = state.knownTerms.findLast(term => term < grant.term);
                notify({ kind: "lead", term: grant.term, formerTerm });
                context.post({ kind: "renew" });
                context.after(RENEW_INTERVAL_MS, { kind: "check" });
            },
            renew(state, _message, context) {
                const lease = state.grant?.lease;
                if (lease === undefined) {
                    return;
                }
                const startedAt = instantNow(clock);
                context.start(
                    () => store.renewLease(lease),
                    result => ({ kind: "renewed", lease, result, startedAt }),
                );
                const renewDelayMs = state.phase === "suspended" ? SUSPENDED_RENEW_MS : RENEW_INTERVAL_MS;
                context.after(renewDelayMs, { kind: "renew" });
            },
            renewed(state, { lease, result, startedAt }, context) {
                if (state.grant?.lease !== lease) {
                    return;
                }
                const reply = result.toMaybe().extract();
                if (reply === "ended") {
                    // The key ended with the lease; its removal is not observed if the copy never had the key.
                    if (state.observedTerm === state.grant.term) {
                        state.observedTerm = 0;
                    }
                    handleTermLost(state, "the lease expired");
                    context.after(campaignDelayMs(), { kind: "campaign" });
                    return;
                }
                if (reply !== "kept") {
                    return;
                }
                if (startedAt.now > state.renewedAt.now) {
                    state.renewedAt = startedAt;
                }
                if (state.phase === "suspended" && isLeaseSafelyHeld(state)) {
                    state.phase = "leading";
                    log.info("The leader's lease is renewed again.", { term: state.grant.term });
                    notify({ kind: "resume" });
                }
            },
            check(state, _message, context) {
                if (!state.grant) {
                    return;
                }
                if (state.phase === "leading" && !isLeaseSafelyHeld(state)) {
                    state.phase = "suspended";
                    log.warn("The leader's lease was not renewed in time.", { term: state.grant.term });
                    notify({ kind: "suspend" });
                }
                context.after(RENEW_INTERVAL_MS / 4, { kind: "check" });
            },
            resign(state, { reply }, context) {
                const { grant } = state;
                state.phase = "resigned";
                state.grant = undefined;
                if (!grant) {
                    reply();
                    return;
                }
                log.info("This process resigns.", { term: grant.term });
                notify({ kind: "lost" });
                context.start(
                    async () => {
                        await store.revokeLease(grant.lease);
                        reply();
                    },
                    // A follow-up message is required; without a grant, `check` does nothing.
                    () => ({ kind: "check" }),
                );
            },
        },
    });
}
