import { Left, type Either } from "purify-ts/Either";
import type {
    Binding,
    Configuration,
    ConfigurationDocument,
    WorkerPosition,
} from "@tanagerdeck/decisions/document/documentTypes";
import { missingWorkers } from "@tanagerdeck/decisions/fleet/missingWorkers";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Handlers, type Task } from "@tanagerdeck/runtime/task/task";
import { jitteredInterval } from "../store/reconnectDelay.ts";
import type { Store } from "../store/storeTypes.ts";
import { acceptConfiguration, readCurrent } from "./acceptedConfiguration.ts";

/** Interval of the checks. Its jitter lets one entry rebind first; the others then see its revision. */
const CHECK_INTERVAL_MS = 5_000;
/** Delay before the next attempt if the bindings did not fit on the remaining workers. */
const RETRY_INTERVAL_MS = 60_000;

/** Moves the bindings that use missing workers to other workers; fails if one of them fits nowhere else. */
export type Rebind = (
    document: ConfigurationDocument,
    bindings: Binding[],
    missing: WorkerPosition[],
) => Either<Failure, Binding[]>;

/** Messages of the rebinding task. */
export type RebindingMessage =
    | { kind: "check" }
    | { kind: "configuration"; configuration: Configuration }
    | { kind: "fleet"; agents: AgentView[] }
    | { kind: "rebound"; result: Either<Failure, Configuration> };

/** Dependencies of the rebinding task. */
export interface RebindingOptions {
    environment: string;
    entry: string;
    store: Store;
    clock: Clock;
    log: Log;
    random: () => number;
    rebind: Rebind;
    /** Called with each configuration that this entry has stored. */
    onAccepted: (configuration: Configuration) => void;
}

interface State {
    configuration: Configuration | undefined;
    agents: AgentView[];
    startedAt: number;
    options: RebindingOptions;
}

/** Starts the task that moves bindings from missing workers to other workers. */
export function startRebindingTask(options: RebindingOptions): Task<RebindingMessage> {
    const task = startTask<State, RebindingMessage>({
        name: "rebinding",
        state: { configuration: undefined, agents: [], startedAt: options.clock.now(), options },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "check" });
    return task;
}

const handlers: Handlers<State, RebindingMessage> = {
    configuration(state, message) {
        state.configuration = message.configuration;
    },
    fleet(state, message) {
        state.agents = message.agents;
    },
    check(state, _message, context) {
        const { configuration, agents, startedAt, options } = state;
        const uptimeMs = context.clock.now() - startedAt;
        const missing = configuration ? missingWorkers(configuration, agents, uptimeMs) : [];
        if (!configuration || missing.length === 0) {
            context.after(jitteredInterval(CHECK_INTERVAL_MS, options.random), { kind: "check" });
            return;
        }
        context.start(
            () => acceptRebinding(options, configuration, missing),
            result => ({ kind: "rebound", result }),
        );
    },
    rebound(state, { result }, context) {
        const { options } = state;
        result.ifLeft(problem => options.log.warn("Rebinding failed.", { detail: problem.detail }));
        result.ifRight(configuration => {
            options.log.warn("Bindings were moved from missing workers to others.", {
                revision: configuration.revision,
            });
            state.configuration = configuration;
            options.onAccepted(configuration);
        });
        const isInfeasible = result.isLeft() && result.extract().reason === "infeasible";
        const delay = isInfeasible ? RETRY_INTERVAL_MS : CHECK_INTERVAL_MS;
        context.after(jitteredInterval(delay, options.random), { kind: "check" });
    },
};

/** Stores the same document with new bindings as the next revision, unless `expected` is no longer the accepted one. */
async function acceptRebinding(
    options: RebindingOptions,
    expected: Configuration,
    missing: WorkerPosition[],
): Promise<Either<Failure, Configuration>> {
    const { store, environment, entry, clock } = options;
    const read = await readCurrent(store, environment);
    if (read.isLeft()) {
        return read;
    }
    const stored = read.unsafeCoerce();
    if (!stored || stored.configuration.revision !== expected.revision) {
        return Left(
            failure("not-run", "revision-conflict", "Another revision was accepted in the meantime."),
        );
    }
    const bindings = options.rebind(expected.document, expected.bindings, missing);
    if (bindings.isLeft()) {
        return Left(bindings.extract());
    }
    const revision = expected.revision + 1;
    const changeId = `rebind-${entry}-${revision}-${clock.wall()}`;
    const configuration = { ...expected, revision, changeId, bindings: bindings.unsafeCoerce() };
    if (JSON.stringify(configuration.bindings) === JSON.stringify(expected.bindings)) {
        return Left(failure("not-run", "infeasible", "No binding could be moved."));
    }
    const accepted = await acceptConfiguration(store, {
        environment,
        version: stored.version,
        configuration,
        cause: "rebound",
        acceptedAt: clock.wall(),
    });
    return accepted;
}
