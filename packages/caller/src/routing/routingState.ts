import type { Either } from "purify-ts/Either";
import type { TokenBucket } from "@tanagerdeck/decisions/admission/tokenBucket";
import type { Configuration, WorkKind } from "@tanagerdeck/decisions/document/documentTypes";
import type { ServerHealth } from "@tanagerdeck/decisions/health/serverHealth";
import type { LedgerReference, SendAttempt } from "@tanagerdeck/decisions/request/requestLedgerTypes";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import type { AgentView, SentCount } from "@tanagerdeck/decisions/routing/agentChoice";
import type { CallResult, CallStep } from "@tanagerdeck/decisions/routing/callStep";
import type { RetryBudget } from "@tanagerdeck/decisions/routing/retryBudget";
import type { Failure, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply, TaskContext } from "@tanagerdeck/runtime/task/task";
import type { Span, StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** A request as submitted by an authenticated caller. */
export interface CallerRequest {
    /** Id chosen by the caller, or its ticket; undefined if it sent neither. */
    id: string | undefined;
    /** True if the caller has not sent this id before, so that a refusal at the entry means `not-run`. */
    firstSend: boolean;
    clientAccount: string;
    kind: string;
    deadlineMs: number;
    body: string;
    /** W3C trace context of the caller listener's span. */
    traceparent?: string | undefined;
}

/** Reply to a request: its outcome, or the ticket with which the caller must send it again. */
export type RoutingReply =
    { kind: "outcome"; id: string; outcome: Outcome } | { kind: "ticket"; ticket: string };

/** Request calls to agents; the peer package implements them. */
export interface AgentCalls {
    submit(
        address: string,
        request: Request,
        send: SendAttempt,
        revision: number,
    ): Promise<Either<Failure, Progress>>;
    result(address: string, reference: LedgerReference): Promise<Either<Failure, Progress>>;
    settle(address: string, reference: LedgerReference): Promise<Either<Failure, Progress>>;
    cancel(address: string, reference: LedgerReference): Promise<Either<Failure, Progress>>;
}

/** Messages of the routing task. */
export type RoutingMessage =
    | { kind: "fleet"; agents: AgentView[] }
    | { kind: "configuration"; configuration: Configuration }
    /** Number of entries that serve the environment, including this one. */
    | { kind: "entries"; count: number }
    | { kind: "request"; request: CallerRequest; reply: Reply<RoutingReply> }
    | { kind: "start"; key: string; attempt: string }
    | { kind: "call"; key: string; attempt: string; step: CallStep }
    | { kind: "progress"; key: string; attempt: string; step: CallStep; result: CallResult }
    | { kind: "deadline"; key: string }
    | { kind: "cancel"; id: string; clientAccount: string; reply: Reply<Outcome> }
    | { kind: "cancelled"; key: string; target: Target; outcome: Outcome; reply: Reply<Outcome> }
    | { kind: "sweep" }
    /** Replied to once no request is in flight. */
    | { kind: "idle"; reply: Reply<undefined> };

/** Dependencies of the routing task. */
export interface RoutingOptions {
    availabilityZone: string;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Generates a random id. */
    newId: () => string;
    digestOf: (body: string) => string;
    calls: AgentCalls;
    metrics: Metrics;
    startSpan: StartSpan;
}

/** The agent to which a request was sent, and the reference to the send in its ledger. */
export interface Target extends LedgerReference {
    agent: string;
    address: string;
}

/** A request in flight. Times are in milliseconds of the monotonic clock. */
export interface PendingRequest {
    key: string;
    id: string;
    request: CallerRequest;
    kind: WorkKind;
    deadlineAt: number;
    /** Id of the current attempt; replies to earlier attempts are ignored. */
    attempt: string;
    target: Target | undefined;
    excluded: Set<string>;
    /** True if an earlier send of this id or an earlier attempt may have run. */
    uncertain: boolean;
    cancelled: boolean;
    damagedAnswers: number;
    /** Time until which the request waits for its ticket's agent to appear in the fleet view. */
    awaitAgentUntil: number;
    replies: Reply<RoutingReply>[];
    stopTimer: TimerStop;
    span: Span;
}

/** Target of a finished request. A repeat of its id goes to the same agent, whose ledger has the outcome. */
export interface RecentTarget {
    target: Target;
    uncertain: boolean;
    keepUntil: number;
}

/** State of the routing task. */
export interface RoutingState {
    agents: AgentView[];
    medianMs: number;
    configuration: Configuration | undefined;
    entries: number;
    pendingRequests: Map<string, PendingRequest>;
    recentTargets: Map<string, RecentTarget>;
    health: Map<string, ServerHealth>;
    sentCounts: Map<string, SentCount>;
    tokenBuckets: Map<string, TokenBucket>;
    retryBudgets: Map<string, RetryBudget>;
    idleReplies: Reply<undefined>[];
    options: RoutingOptions;
}

/** Context of the routing task's handlers. */
export type RoutingContext = TaskContext<RoutingMessage>;

/** Creates the initial state, in which no agent is known. */
export function createRoutingState(options: RoutingOptions): RoutingState {
    return {
        agents: [],
        medianMs: 0,
        configuration: undefined,
        entries: 1,
        pendingRequests: new Map(),
        recentTargets: new Map(),
        health: new Map(),
        sentCounts: new Map(),
        tokenBuckets: new Map(),
        retryBudgets: new Map(),
        idleReplies: [],
        options,
    };
}

/** Returns the value of a key and creates it if it is missing. */
export function getOrCreate<T>(map: Map<string, T>, key: string, build: () => T): T {
    let value = map.get(key);
    if (value === undefined) {
        value = build();
        map.set(key, value);
    }
    return value;
}
