import type { Rack } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";

/** Messages that the membership task handles. */
export type MembershipMessage =
    | { kind: "report"; report: Report; reply: Reply<ReportReply> }
    /** Timer: updates the members' states and removes expired records. */
    | { kind: "sweep" }
    | { kind: "publish" }
    | { kind: "configuration"; revision: number; racks: Rack[] }
    /** Replaces the addresses of the entries that replies list. */
    | { kind: "entries"; addresses: string[] }
    /** No connection to an agent could be opened. Not sent if a connected call times out, which says nothing about the agent. */
    | { kind: "connection-refused"; address: string }
    /** An agent has confirmed a drain; its next report, which will say so too, is still to come. */
    | { kind: "drained"; agent: string }
    /** The ends of these gangs are recorded; replies to their anchors say so. */
    | { kind: "gangs-recorded"; gangs: string[] }
    | { kind: "get"; reply: Reply<AgentView[]> }
    | { kind: "find"; agent: string; reply: Reply<AgentView | undefined> };

/** Settings and dependencies of the membership task. */
export interface MembershipOptions {
    clock: Clock;
    log: Log;
    /** Interval between reports, which replies tell the agents. */
    reportIntervalMs: number;
    /** Called with the view of all agents after it has changed, at most five times a second. */
    onChanged: (agents: AgentView[]) => void;
    /** Called once when an agent's state becomes `gone`, so that its work is placed elsewhere. */
    onGone?: (agent: AgentView) => void;
    /** Called with each accepted report. */
    onReported?: (report: Report) => void;
}
