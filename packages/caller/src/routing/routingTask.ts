import type { Either } from "purify-ts/Either";
import type { Configuration, Kind } from "@tanagerdeck/decisions/document/documentTypes";
import type { Progress, Request } from "@tanagerdeck/decisions/request/requestTypes";
import { chooseRunner, type AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { failure, type Failure, type Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import {
    startTask,
    type Handlers,
    type Reply,
    type Task,
    type TaskContext,
} from "@tanagerdeck/runtime/task/task";
import type { Span, StartSpan } from "@tanagerdeck/runtime/trace/traceTypes";

/** A caller's request after authentication. */
export interface CallerRequest {
    id: string;
    clientAccount: string;
    kind: string;
    deadlineMs: number;
    body: string;
    /** W3C trace context of the caller listener's span. */
    traceparent?: string | undefined;
}

/** Calls to agents, supplied by the peer package. */
export interface AgentCalls {
    submit(address: string, request: Request, revision: number): Promise<Either<Failure, Progress>>;
    result(address: string, id: string, clientAccount: string): Promise<Either<Failure, Progress>>;
    settle(address: string, id: string, clientAccount: string): Promise<Either<Failure, Progress>>;
}

/** Messages of the routing task. */
export type RoutingMessage =
    | { kind: "fleet"; agents: AgentView[] }
    | { kind: "configuration"; configuration: Configuration }
    | { kind: "request"; request: CallerRequest; reply: Reply<Outcome> }
    | { kind: "progress"; id: string; step: CallStep; result: Either<Failure, Progress> };

/** The call that a progress message answers. */
export type CallStep = "submit" | "result" | "settle";

/** Dependencies of the routing task. */
export interface RoutingOptions {
    availabilityZone: string;
    clock: Clock;
    log: Log;
    random: () => number;
    calls: AgentCalls;
    metrics: Metrics;
    startSpan: StartSpan;
}

interface Flight {
    request: Request;
    span: Span;
    agent: AgentView;
    replies: Reply<Outcome>[];
}

interface State {
    agents: AgentView[];
    configuration: Configuration | undefined;
    flights: Map<string, Flight>;
    options: RoutingOptions;
}

/** Starts the task that owns the requests in flight of one entry. */
export function startRoutingTask(options: RoutingOptions): Task<RoutingMessage> {
    return startTask<State, RoutingMessage>({
        name: "routing",
        state: { agents: [], configuration: undefined, flights: new Map(), options },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
}

const handlers: Handlers<State, RoutingMessage> = {
    fleet(state, message) {
        state.agents = message.agents;
    },
    configuration(state, message) {
        state.configuration = message.configuration;
    },
    request(state, message, context) {
        const { request, reply } = message;
        const flightKey = `${request.clientAccount}/${request.id}`;
        const known = state.flights.get(flightKey);
        if (known) {
            known.replies.push(reply);
            return;
        }
        const kind = findKind(state.configuration, request);
        if (!kind) {
            reply(failure("not-run", "invalid", "The kind is not registered for this client account."));
            return;
        }
        const excluded = new Set<string>();
        const { availabilityZone, random } = state.options;
        const agent = chooseRunner(state.agents, { availabilityZone, excluded, random });
        if (!agent) {
            reply(failure("not-run", "no-backend-server", "No backend server is serving."));
            return;
        }
        const span = state.options.startSpan("route request", request.traceparent, {
            kind: kind.name,
            agent: agent.report.name,
        });
        const sent: Request = {
            id: request.id,
            clientAccount: request.clientAccount,
            kind: kind.name,
            priority: kind.priority,
            repeatable: kind.repeatable,
            remainingMs: request.deadlineMs,
            body: request.body,
            traceparent: span.traceparent,
        };
        state.flights.set(flightKey, { request: sent, span, agent, replies: [reply] });
        reportLoad(state);
        call(state, flightKey, "submit", context);
    },
    progress(state, message, context) {
        message.result.caseOf({
            Left: problem => callFailed(state, message.id, message.step, problem, context),
            Right: progress => {
                if (progress.kind === "done") {
                    finish(state, message.id, progress.outcome);
                    return;
                }
                call(state, message.id, "result", context);
            },
        });
    },
};

function findKind(configuration: Configuration | undefined, request: CallerRequest): Kind | undefined {
    for (const kind of configuration?.document.kinds ?? []) {
        if (kind.name === request.kind && kind.clientAccounts.includes(request.clientAccount)) {
            return kind;
        }
    }
    return undefined;
}

function call(state: State, key: string, step: CallStep, context: TaskContext<RoutingMessage>): void {
    const flight = state.flights.get(key);
    if (!flight) {
        return;
    }
    const { calls } = state.options;
    const { request, agent } = flight;
    const address = agent.report.address;
    const steps: Record<CallStep, () => Promise<Either<Failure, Progress>>> = {
        submit: () => calls.submit(address, request, state.configuration?.revision ?? 0),
        result: () => calls.result(address, request.id, request.clientAccount),
        settle: () => calls.settle(address, request.id, request.clientAccount),
    };
    context.start(steps[step], result => ({ kind: "progress", id: key, step, result }));
}

function callFailed(
    state: State,
    key: string,
    step: CallStep,
    problem: Failure,
    context: TaskContext<RoutingMessage>,
): void {
    if (step === "submit" && problem.verdict === "not-run") {
        finish(state, key, problem);
        return;
    }
    if (step === "settle") {
        finish(state, key, failure("may-have-run", problem.reason, problem.detail));
        return;
    }
    call(state, key, "settle", context);
}

function finish(state: State, key: string, outcome: Outcome): void {
    const flight = state.flights.get(key);
    if (!flight) {
        return;
    }
    state.flights.delete(key);
    flight.span.end(outcome.kind === "failure" ? outcome.reason : undefined);
    reportLoad(state);
    for (const reply of flight.replies) {
        reply(outcome);
    }
}

function reportLoad(state: State): void {
    state.options.metrics.load("request", { waiting: 0, running: state.flights.size });
}
