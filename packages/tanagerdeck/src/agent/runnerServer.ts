import { createRunnerClient } from "@tanagerdeck/backend/runner/runnerClient";
import { startRunnerTask } from "@tanagerdeck/backend/runner/runnerTask";
import type { RunnerLoad, UsageCounter } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { LedgerReference } from "@tanagerdeck/decisions/request/requestLedgerTypes";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import { noGangHandlers } from "@tanagerdeck/peer/gang/gangHandlers";
import type { RequestHandlers } from "@tanagerdeck/peer/link/agentRouter";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Metrics } from "@tanagerdeck/runtime/metrics/metricsTypes";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { Traces } from "@tanagerdeck/runtime/trace/traces";
import { withSpan } from "@tanagerdeck/runtime/trace/traceTypes";
import type { BackendServer, RequireConfiguration } from "./agentCore.ts";

/** Address, slots and maximum number of connections of an agent's runner. */
export interface RunnerSettings {
    address: string;
    slots: number;
    connections: number;
}

/** Dependencies of the tasks of a runner's agent. */
export interface RunnerServerOptions {
    settings: RunnerSettings;
    incarnation: string;
    clock: Clock;
    log: Log;
    metrics: Metrics;
    traces: Traces;
    requireConfiguration: RequireConfiguration;
}

/** Starts the tasks of a runner's agent, which queue requests and run them on the runner. */
export function startRunnerServer(options: RunnerServerOptions): BackendServer {
    const { settings, incarnation, clock, log, metrics, traces, requireConfiguration } = options;
    const client = createRunnerClient(settings.address, settings.connections);
    const runner = startRunnerTask({
        incarnation,
        digestOf: bodyDigest,
        slots: settings.slots,
        clock,
        log: log.part("runner"),
        run: (request, signal) =>
            withSpan(traces.startSpan, "POST /run", request.traceparent, async () => {
                const outcome = await client.run(request, signal);
                metrics.ended("request", outcome);
                return outcome;
            }),
    });

    /**
     * Returns the progress of a request that the runner task knows, or the refusal. A refused submission may be a
     * repeat of one that already ran, whose result must not be hidden by the refusal.
     */
    async function progressOrRefusal(reference: LedgerReference, refusal: Progress): Promise<Progress> {
        const progress = await runner.ask((reply: Reply<Progress>) => ({
            kind: "result",
            reference,
            reply,
        }));
        const isUnknown =
            progress.kind === "done" &&
            progress.outcome.kind === "failure" &&
            progress.outcome.reason === "not-found";
        return isUnknown ? refusal : progress;
    }

    const requests: RequestHandlers = {
        async submit({ request, send, configurationRevision }) {
            const current = await requireConfiguration(configurationRevision);
            return current.caseOf<Promise<Progress>>({
                Left: refusal => {
                    const { id, clientAccount } = request;
                    return progressOrRefusal(
                        { ...send, id, clientAccount },
                        { kind: "done", id, outcome: refusal },
                    );
                },
                Right: () => runner.ask(reply => ({ kind: "submit", request, send, reply })),
            });
        },
        result: reference => runner.ask((reply: Reply<Progress>) => ({ kind: "result", reference, reply })),
        settle: reference => runner.ask((reply: Reply<Progress>) => ({ kind: "settle", reference, reply })),
        cancel: reference => runner.ask((reply: Reply<Progress>) => ({ kind: "cancel", reference, reply })),
    };

    return {
        handlers: { requests, gangs: noGangHandlers },
        async report() {
            const load = await runner.ask((reply: Reply<RunnerLoad>) => ({ kind: "load", reply }));
            metrics.load("request", load);
            const usage = await runner.ask((reply: Reply<UsageCounter[]>) => ({ kind: "usage", reply }));
            return { runner: load, gangs: [], usage };
        },
        applyConfiguration({ document }) {
            runner.send({ kind: "accounts", accounts: document.clientAccounts });
        },
        handleReportReply: () => undefined,
        async drain() {
            runner.send({ kind: "drain" });
            await runner.ask((reply: Reply<undefined>) => ({ kind: "idle", reply }));
        },
        async stop() {
            await runner.stop();
            await client.close();
        },
    };
}
