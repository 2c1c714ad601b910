import type { Report, ReportReply, AgentState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Handlers, type Reply, type Task } from "@tanagerdeck/runtime/task/task";

/** An agent without a report for this time gets no new work. */
export const SUSPECT_AFTER_MS = 6_000;
/** An agent without a report for this time is forgotten by placement. */
export const GONE_AFTER_MS = 60_000;
const SWEEP_INTERVAL_MS = 1_000;

/** Messages of the membership task. */
export type MembershipMessage =
    | { kind: "report"; report: Report; reply: Reply<ReportReply> }
    | { kind: "sweep" }
    | { kind: "configuration"; revision: number }
    | { kind: "entries"; addresses: string[] };

/** Dependencies of the membership task. */
export interface MembershipOptions {
    clock: Clock;
    log: Log;
    reportIntervalMs: number;
    /** Called with the whole fleet view after each change of it. */
    changed: (agents: AgentView[]) => void;
}

interface Member {
    report: Report;
    heardAt: number;
    state: AgentState;
}

interface State {
    members: Map<string, Member>;
    entries: string[];
    revision: number;
    options: MembershipOptions;
}

/** Starts the task that owns an entry's view of the agents. */
export function startMembershipTask(options: MembershipOptions): Task<MembershipMessage> {
    const task = startTask<State, MembershipMessage>({
        name: "membership",
        state: { members: new Map(), entries: [], revision: 0, options },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "sweep" });
    return task;
}

const handlers: Handlers<State, MembershipMessage> = {
    report(state, message) {
        const { report, reply } = message;
        const known = state.members.get(report.name);
        const now = state.options.clock.now();
        const refused =
            known !== undefined &&
            known.report.incarnation !== report.incarnation &&
            known.state === "serving" &&
            now - known.heardAt < SUSPECT_AFTER_MS;
        if (!refused) {
            state.members.set(report.name, { report, heardAt: now, state: report.state });
            publish(state);
        }
        reply({
            accepted: !refused,
            refusal: refused ? "name-in-use" : undefined,
            entries: state.entries,
            configurationRevision: state.revision,
            reportIntervalMs: state.options.reportIntervalMs,
            recordedGangs: [],
        });
    },
    sweep(state, _message, context) {
        const now = state.options.clock.now();
        for (const member of state.members.values()) {
            if (member.state === "serving" && now - member.heardAt > SUSPECT_AFTER_MS) {
                member.state = "suspect";
            }
        }
        publish(state);
        context.after(SWEEP_INTERVAL_MS, { kind: "sweep" });
    },
    configuration(state, message) {
        state.revision = message.revision;
    },
    entries(state, message) {
        state.entries = message.addresses;
    },
};

function publish(state: State): void {
    const views: AgentView[] = [];
    for (const member of state.members.values()) {
        views.push({ report: member.report, state: member.state });
    }
    state.options.changed(views);
}
