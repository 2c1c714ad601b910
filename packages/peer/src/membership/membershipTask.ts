import type { Rack } from "@tanagerdeck/decisions/document/documentTypes";
import { stateByAge, stateChanges, type Member } from "@tanagerdeck/decisions/fleet/memberState";
import { admitReport, type ReportAdmission } from "@tanagerdeck/decisions/fleet/reportAdmission";
import type { AgentState, Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { startTask, type Handlers, type Task, type TaskContext } from "@tanagerdeck/runtime/task/task";
import type { MembershipMessage, MembershipOptions } from "./membershipTypes.ts";

export type { MembershipMessage, MembershipOptions } from "./membershipTypes.ts";

/** Interval at which members' states are updated from the age of their reports. */
const SWEEP_INTERVAL_MS = 1_000;
/** If a sweep is late by more than this, the whole process was paused. */
const PAUSE_THRESHOLD_MS = 2_000;
/** Shortest interval between two publications; 11,000 agents send 5,500 reports a second. */
const PUBLISH_INTERVAL_MS = 200;
/** For this time after a gang's end was recorded, replies tell its anchor so. */
const RECORDED_RETENTION_MS = 60_000;
/** A gone agent is removed this long after its last report. */
const GONE_RETENTION_MS = 600_000;

interface State {
    members: Map<string, Member>;
    /** Name of the agent at each rack and slot. */
    positions: Map<string, string>;
    /** Name of the agent that reported each address last. */
    addresses: Map<string, string>;
    /** Addresses of all entries, for the agents. */
    entries: string[];
    revision: number;
    /** Undefined before the first configuration. */
    racks: Map<string, Rack> | undefined;
    /** Monotonic time at which the recorded end of each gang became known. */
    recordedGangs: Map<string, number>;
    lastSweepAt: number;
    lastPublishedAt: number;
    isPublicationScheduled: boolean;
    options: MembershipOptions;
}

type Context = TaskContext<MembershipMessage>;

/** Starts the task that owns an entry's view of the agents. */
export function startMembershipTask(options: MembershipOptions): Task<MembershipMessage> {
    const task = startTask<State, MembershipMessage>({
        name: "membership",
        state: {
            members: new Map(),
            positions: new Map(),
            addresses: new Map(),
            entries: [],
            revision: 0,
            racks: undefined,
            recordedGangs: new Map(),
            lastSweepAt: options.clock.now(),
            lastPublishedAt: Number.NEGATIVE_INFINITY,
            isPublicationScheduled: false,
            options,
        },
        handlers,
        clock: options.clock,
        reportError: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "sweep" });
    return task;
}

const handlers: Handlers<State, MembershipMessage> = {
    report(state, { report, reply }, context) {
        const admission = admit(state, report, context.clock.now());
        if (admission.kind === "accepted") {
            storeReport(state, report, context);
        }
        reply(reportReply(state, report, admission));
    },
    sweep(state, _message, context) {
        const now = context.clock.now();
        excludePause(state, now);
        applyStateChanges(state, now, context);
        removeGoneMembers(state, now);
        for (const [gang, recordedAt] of state.recordedGangs) {
            if (now - recordedAt > RECORDED_RETENTION_MS) {
                state.recordedGangs.delete(gang);
            }
        }
        context.after(SWEEP_INTERVAL_MS, { kind: "sweep" });
    },
    publish(state, _message, context) {
        state.isPublicationScheduled = false;
        state.lastPublishedAt = context.clock.now();
        state.options.onChanged(agentViews(state));
    },
    configuration(state, message) {
        state.revision = message.revision;
        state.racks = new Map(message.racks.map(rack => [rack.name, rack]));
    },
    entries(state, message) {
        state.entries = message.addresses;
    },
    "connection-refused"(state, message, context) {
        const name = state.addresses.get(message.address);
        const member = name === undefined ? undefined : state.members.get(name);
        if (member?.report.address === message.address) {
            member.refused = true;
            changeState(state, member, stateByAge(member, context.clock.now()), context);
        }
    },
    drained(state, message, context) {
        const member = state.members.get(message.agent);
        if (member && member.report.state === "serving") {
            member.report = { ...member.report, state: "draining" };
            changeState(state, member, stateByAge(member, context.clock.now()), context);
        }
    },
    "gangs-recorded"(state, message, context) {
        for (const gang of message.gangs) {
            state.recordedGangs.set(gang, context.clock.now());
        }
    },
    get(state, message) {
        message.reply(agentViews(state));
    },
    find(state, message) {
        const member = state.members.get(message.agent);
        message.reply(member ? { report: member.report, state: member.state } : undefined);
    },
};

function admit(state: State, report: Report, now: number): ReportAdmission {
    const occupant = report.worker && state.positions.get(positionKey(report));
    return admitReport(report, {
        now,
        known: state.members.get(report.name),
        atPosition: occupant === undefined ? undefined : state.members.get(occupant),
        rack: report.worker && state.racks?.get(report.worker.rack),
        racksKnown: state.racks !== undefined,
    });
}

function storeReport(state: State, report: Report, context: Context): void {
    const known = state.members.get(report.name);
    if (known?.report.worker && state.positions.get(positionKey(known.report)) === report.name) {
        state.positions.delete(positionKey(known.report));
    }
    if (report.worker) {
        state.positions.set(positionKey(report), report.name);
    }
    if (known && known.report.address !== report.address) {
        state.addresses.delete(known.report.address);
    }
    state.addresses.set(report.address, report.name);
    const heardAt = context.clock.now();
    state.members.set(report.name, { report, heardAt, state: report.state, refused: false });
    state.options.onReported?.(report);
    requestPublication(state, context);
}

function reportReply(state: State, report: Report, admission: ReportAdmission): ReportReply {
    return {
        accepted: admission.kind === "accepted",
        refusal: admission.kind === "refused" ? admission.refusal : undefined,
        entries: state.entries,
        configurationRevision: state.revision,
        reportIntervalMs: state.options.reportIntervalMs,
        recordedGangs: report.gangs.map(({ gang }) => gang).filter(gang => state.recordedGangs.has(gang)),
    };
}

/** Leaves a pause of this process out of the members' silence, since reports from that time are still unread. */
function excludePause(state: State, now: number): void {
    const pausedMs = now - state.lastSweepAt - SWEEP_INTERVAL_MS;
    state.lastSweepAt = now;
    if (pausedMs <= PAUSE_THRESHOLD_MS) {
        return;
    }
    state.options.log.warn("This process was paused.", { pausedMs: Math.round(pausedMs) });
    for (const member of state.members.values()) {
        member.heardAt = Math.min(now, member.heardAt + pausedMs);
    }
}

function applyStateChanges(state: State, now: number, context: Context): void {
    for (const [name, next] of stateChanges(state.members.values(), now)) {
        changeState(state, state.members.get(name)!, next, context);
    }
}

function changeState(state: State, member: Member, next: AgentState, context: Context): void {
    const { report, state: previous } = member;
    if (next === previous) {
        return;
    }
    state.options.log.info("An agent changed its state.", { agent: report.name, from: previous, to: next });
    member.state = next;
    if (next === "gone") {
        state.options.onGone?.({ report, state: next });
    }
    requestPublication(state, context);
}

/**
 * Removes agents that have been gone for long; until then operators can see them. The agent of a replacement VM
 * has another name.
 */
function removeGoneMembers(state: State, now: number): void {
    for (const [name, member] of state.members) {
        if (member.state === "gone" && now - member.heardAt > GONE_RETENTION_MS) {
            state.members.delete(name);
            if (state.addresses.get(member.report.address) === name) {
                state.addresses.delete(member.report.address);
            }
            if (state.positions.get(positionKey(member.report)) === name) {
                state.positions.delete(positionKey(member.report));
            }
        }
    }
}

/** Publishes the fleet view now or when the publication interval is over. */
function requestPublication(state: State, context: Context): void {
    if (state.isPublicationScheduled) {
        return;
    }
    state.isPublicationScheduled = true;
    const delayMs = state.lastPublishedAt + PUBLISH_INTERVAL_MS - context.clock.now();
    if (delayMs > 0) {
        context.after(delayMs, { kind: "publish" });
        return;
    }
    context.post({ kind: "publish" });
}

function agentViews(state: State): AgentView[] {
    const views: AgentView[] = [];
    for (const { report, state: agentState } of state.members.values()) {
        views.push({ report, state: agentState });
    }
    return views;
}

function positionKey({ worker }: Report): string {
    return worker ? `${worker.rack}/${worker.slot}` : "";
}
