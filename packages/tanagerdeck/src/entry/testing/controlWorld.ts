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
import { callEntryNode, fetchFrom, gateStore, status, unreachable } from "./worldCalls.ts";
import type { AgentNode, ControlWorld, EntryNode } from "./worldTypes.ts";

const ENVIRONMENT = "trial";

export type { ControlWorld } from "./worldTypes.ts";

/** Builds an empty world. `random` must be seeded. */
export function createControlWorld(clock: ManualClock, random: () => number): ControlWorld {
    return {
        clock,
        platform: createMemoryPlatform(clock),
        entries: new Map(),
        agents: new Map(),
        cut: new Set(),
        fetchDelayMs: new Map(),
        random,
        entriesGone: [],
    };
}

/** Starts an entry whose address is its name. */
export function startEntryNode(world: ControlWorld, name: string, seeds: string[]): EntryNode {
    const clock = createFreezableClock(world.clock);
    const connection = world.platform.connect();
    const adopted: number[] = [];
    const own: Registration = { name, incarnation: `${name}-${world.clock.now()}`, address: name };
    const control = startEntryControl({
        environment: ENVIRONMENT,
        own,
        seeds,
        store: gateStore(connection.store, clock),
        clock,
        log: noopLog,
        random: world.random,
        askStatus: address => clock.deliver(callEntryNode(world, name, address, node => status(node))),
        fetch: (address, afterRevision) => clock.deliver(fetchFrom(world, name, address, afterRevision)),
        rebind: undefined,
        adopted: configuration => adopted.push(configuration.revision),
        fleetChanged: () => undefined,
        entriesChanged: () => undefined,
        entryGone: entry => world.entriesGone.push({ at: name, gone: entry.name }),
    });
    const node = { name, clock, connection, adopted, control };
    world.entries.set(name, node);
    return node;
}

/** Starts an agent. */
export function startAgentNode(world: ControlWorld, name: string, seeds: string[]): AgentNode {
    const clock = createFreezableClock(world.clock);
    const adopted: number[] = [];
    const serving: AgentNode["serving"] = { state: "serving", sequence: 0 };
    const configuration = startAgentConfigurationTask({
        clock,
        log: noopLog,
        fetch: (entry, afterRevision) => clock.deliver(fetchFrom(world, name, entry, afterRevision)),
        announce: () => announcement.send({ kind: "announce" }),
        adopted: ({ revision }) => adopted.push(revision),
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
        sequence: serving.sequence++,
        address: name,
        availabilityZone: "windhoek",
        server: "runner",
        state: serving.state,
        configurationRevision: adopted.at(-1) ?? 0,
        gangs: [],
        usage: [],
    });
    const announcement = startAnnouncementTask({
        seeds,
        reportIntervalMs: 2_000,
        clock,
        log: noopLog,
        random: world.random,
        report,
        send: (entry, message) =>
            clock.deliver(
                callEntryNode<ReportReply>(world, name, entry, node => node.control.announce(message)),
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
    const node = { name, clock, adopted, configuration, announcement, runner, serving };
    world.agents.set(name, node);
    return node;
}

/** Ends an entry as SIGKILL does; nothing is told to anybody. */
export async function killEntry(world: ControlWorld, name: string): Promise<void> {
    const node = world.entries.get(name);
    world.entries.delete(name);
    node?.connection.fault("down");
    node?.clock.freeze();
}

/** Applies a document through an entry. */
export async function applyAt(
    world: ControlWorld,
    name: string,
    change: { expectedRevision: number; changeId: string; policy?: UnreachablePolicy },
): Promise<Either<Failure, AcceptedChange>> {
    const node = world.entries.get(name)!;
    const text = JSON.stringify({
        clientAccounts: [],
        kinds: [],
        racks: [],
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: change.policy ?? "refuse",
    });
    const target = { store: node.connection.store, environment: ENVIRONMENT, now: world.clock.wall };
    const result = await applyDocument(target, { ...change, text });
    result.ifRight(({ configuration }) => {
        if (configuration) {
            node.control.configuration.send({ kind: "offer", configuration });
        }
    });
    return result;
}

/** What an entry says to new work now. A frozen entry says nothing. */
export function admit(node: EntryNode): Promise<Either<Failure, Configuration>> {
    return node.control.configuration.ask(reply => ({ kind: "admit", reply }));
}

/** What an agent says to a call that carries a revision. */
export function requireAt(node: AgentNode, revision: number): Promise<Either<Failure, Configuration>> {
    return node.configuration.ask(reply => ({ kind: "require", revision, reply }));
}

/** Drains an agent through an entry, as the operators' route does. */
export function drainAt(
    world: ControlWorld,
    entry: string,
    agent: string,
    replyLost: boolean,
): Promise<Either<Failure, unknown>> {
    const { membership } = world.entries.get(entry)!.control;
    return drainAgent(
        {
            find: name => membership.ask(reply => ({ kind: "find", agent: name, reply })),
            async drain(address) {
                const node = world.agents.get(address)!;
                node.runner.send({ kind: "drain" });
                node.serving.state = "draining";
                node.announcement.send({ kind: "announce" });
                return replyLost ? Left(unreachable("may-have-run")) : Right({ draining: true });
            },
            drained: name => membership.send({ kind: "drained", agent: name }),
        },
        agent,
    );
}

/** Sends a request to an agent's runner task, as an entry with a stale view does. */
export async function submitAt(node: AgentNode, id: string): Promise<Outcome | undefined> {
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

/** An entry's view of an agent. */
export function viewOf(node: EntryNode, agent: string): Promise<AgentView | undefined> {
    return node.control.membership.ask(reply => ({ kind: "find", agent, reply }));
}
