import { Left, Right, type Either } from "purify-ts/Either";
import { startRunnerTask } from "@tanagerdeck/backend/runner/runnerTask";
import type { Configuration, UnreachablePolicy } from "@tanagerdeck/decisions/document/documentTypes";
import type { Registration } from "@tanagerdeck/decisions/fleet/entryPresence";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Progress } from "@tanagerdeck/decisions/request/requestTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Failure, Outcome } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { applyDocument, type AcceptedChange } from "@tanagerdeck/operator/document/applyDocument";
import { drainAgent } from "@tanagerdeck/operator/drain/drainAgent";
import { startAnnouncementTask } from "@tanagerdeck/peer/announcement/announcementTask";
import { startAgentConfigurationTask } from "@tanagerdeck/peer/configuration/agentConfigurationTask";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { createMemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import { createFreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import { startEntryControl } from "../entryControl.ts";
import {
    callSimulatedEntry,
    fetchConfiguration,
    createFreezableStore,
    configurationStatusOf,
    unreachableFailure,
} from "./clusterCalls.ts";
import type { SimulatedAgent, SimulatedCluster, SimulatedEntry } from "./clusterTypes.ts";

const ENVIRONMENT = "trial";

export type { SimulatedCluster } from "./clusterTypes.ts";

/** Creates a cluster without processes. `random` must be seeded, so that a failed test can be repeated. */
export function createSimulatedCluster(clock: ManualClock, random: () => number): SimulatedCluster {
    return {
        clock,
        platform: createMemoryPlatform(clock),
        entries: new Map(),
        agents: new Map(),
        disconnected: new Set(),
        fetchReplyDelayMs: new Map(),
        random,
        goneNotifications: [],
    };
}

/** Starts a simulated entry, whose address is its name. */
export function startSimulatedEntry(
    cluster: SimulatedCluster,
    name: string,
    seeds: string[],
): SimulatedEntry {
    const clock = createFreezableClock(cluster.clock);
    const connection = cluster.platform.connect();
    const adopted: number[] = [];
    const ownRegistration: Registration = {
        name,
        incarnation: `${name}-${cluster.clock.now()}`,
        address: name,
    };
    const control = startEntryControl({
        environment: ENVIRONMENT,
        ownRegistration,
        seeds,
        store: createFreezableStore(connection.store, clock),
        clock,
        log: noopLog,
        random: cluster.random,
        fetchConfigurationStatus: address =>
            clock.deliver(callSimulatedEntry(cluster, name, address, node => configurationStatusOf(node))),
        fetchConfiguration: (address, afterRevision) =>
            clock.deliver(fetchConfiguration(cluster, name, address, afterRevision)),
        rebind: undefined,
        onConfigurationAdopted: configuration => adopted.push(configuration.revision),
        onFleetChanged: () => undefined,
        onEntryCountChanged: () => undefined,
        onEntryGone: entry => cluster.goneNotifications.push({ at: name, gone: entry.name }),
    });
    const node = { name, clock, connection, adopted, control };
    cluster.entries.set(name, node);
    return node;
}

/** Starts a simulated agent, whose address is its name. */
export function startSimulatedAgent(
    cluster: SimulatedCluster,
    name: string,
    seeds: string[],
): SimulatedAgent {
    const clock = createFreezableClock(cluster.clock);
    const adopted: number[] = [];
    const reporting: SimulatedAgent["reporting"] = { state: "serving", sequence: 0 };
    const configuration = startAgentConfigurationTask({
        clock,
        log: noopLog,
        fetchConfiguration: (entry, afterRevision) =>
            clock.deliver(fetchConfiguration(cluster, name, entry, afterRevision)),
        announce: () => announcement.send({ kind: "announce" }),
        onAdopted: ({ revision }) => adopted.push(revision),
    });
    const runner = startRunnerTask({
        incarnation: "one",
        digestOf: body => body,
        slots: 8,
        clock,
        log: noopLog,
        run: async () => ({ kind: "answer", verdict: "ran", answer: { body: "", length: 0, digest: "" } }),
    });
    const report = async (): Promise<Report> => ({
        name,
        incarnation: "one",
        sequence: reporting.sequence++,
        address: name,
        availabilityZone: "windhoek",
        server: "runner",
        state: reporting.state,
        configurationRevision: adopted.at(-1) ?? 0,
        gangs: [],
        usage: [],
    });
    const announcement = startAnnouncementTask({
        seeds,
        reportIntervalMs: 2_000,
        clock,
        log: noopLog,
        random: cluster.random,
        report,
        send: (entry, message) =>
            clock.deliver(
                callSimulatedEntry<ReportReply>(cluster, name, entry, node =>
                    node.control.handleReport(message),
                ),
            ),
        onReply: (entry, reply, askedAt) =>
            configuration.send({
                kind: "replied",
                entry,
                askedAt,
                revision: reply.configurationRevision,
                confirmedAgoMs: reply.configurationConfirmedAgoMs,
            }),
    });
    const node = { name, clock, adopted, configuration, announcement, runner, reporting };
    cluster.agents.set(name, node);
    return node;
}

/** Ends an entry as SIGKILL does: it neither ends its registration nor notifies another process. */
export async function killEntry(cluster: SimulatedCluster, name: string): Promise<void> {
    const node = cluster.entries.get(name);
    cluster.entries.delete(name);
    node?.connection.fault("down");
    node?.clock.freeze();
}

/** Applies a configuration document through an entry, as the operator route does. */
export async function applyDocumentAt(
    cluster: SimulatedCluster,
    name: string,
    change: { expectedRevision: number; changeId: string; policy?: UnreachablePolicy },
): Promise<Either<Failure, AcceptedChange>> {
    const node = cluster.entries.get(name)!;
    const text = JSON.stringify({
        clientAccounts: [],
        kinds: [],
        racks: [],
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: change.policy ?? "refuse",
    });
    const target = { store: node.connection.store, environment: ENVIRONMENT, now: cluster.clock.wall };
    const result = await applyDocument(target, { ...change, text });
    result.ifRight(({ configuration }) => {
        if (configuration) {
            node.control.configuration.send({ kind: "offer", configuration });
        }
    });
    return result;
}

/** Asks an entry for the configuration under which it admits new work. */
export function requestAdmission(node: SimulatedEntry): Promise<Either<Failure, Configuration>> {
    return node.control.configuration.ask(reply => ({ kind: "admit", reply }));
}

/** Asks an agent whether it serves a call from an entry that uses this configuration revision. */
export function requireRevision(
    node: SimulatedAgent,
    revision: number,
): Promise<Either<Failure, Configuration>> {
    return node.configuration.ask(reply => ({ kind: "require", revision, reply }));
}

/** Drains an agent through an entry, as the operator route does. With `replyLost` the call to the agent fails. */
export function drainThroughEntry(
    cluster: SimulatedCluster,
    entry: string,
    agent: string,
    replyLost: boolean,
): Promise<Either<Failure, unknown>> {
    const { membership } = cluster.entries.get(entry)!.control;
    return drainAgent(
        {
            find: name => membership.ask(reply => ({ kind: "find", agent: name, reply })),
            async drain(address) {
                const node = cluster.agents.get(address)!;
                node.runner.send({ kind: "drain" });
                node.reporting.state = "draining";
                node.announcement.send({ kind: "announce" });
                return replyLost ? Left(unreachableFailure("may-have-run")) : Right({ draining: true });
            },
            drained: name => membership.send({ kind: "drained", agent: name }),
        },
        agent,
    );
}

/** Sends a request to an agent's runner task, as an entry does that has not learned of a drain. */
export async function submitToAgent(node: SimulatedAgent, id: string): Promise<Outcome | undefined> {
    const progress = await node.runner.ask<Progress>(reply => ({
        kind: "submit",
        request: {
            id,
            clientAccount: "counter",
            kind: "quote",
            priority: "urgent",
            repeatable: true,
            remainingMs: 5_000,
            body: "",
        },
        send: { incarnation: "one", attempt: id },
        reply,
    }));
    return progress.kind === "done" ? progress.outcome : undefined;
}

/** Returns the state in which an entry sees an agent. */
export function findAgentView(node: SimulatedEntry, agent: string): Promise<AgentView | undefined> {
    return node.control.membership.ask(reply => ({ kind: "find", agent, reply }));
}
