import type { Rack } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";

/** Messages of the membership task. */
export type MembershipMessage =
    | { kind: "report"; report: Report; reply: Reply<ReportReply> }
    | { kind: "sweep" }
    | { kind: "publish" }
    | { kind: "configuration"; revision: number; racks: Rack[] }
    | { kind: "entries"; addresses: string[] }
    /** A connection to an agent's address was refused; a call that timed out says nothing about the agent. */
    | { kind: "connection-refused"; address: string }
    /** The agent has confirmed a drain, before its next report says so. */
    | { kind: "drained"; agent: string }
    /** Ends of gangs that are recorded; their anchors are told so. */
    | { kind: "gangs-recorded"; gangs: string[] }
    | { kind: "get"; reply: Reply<AgentView[]> }
    | { kind: "find"; agent: string; reply: Reply<AgentView | undefined> };

/** Dependencies of the membership task. */
export interface MembershipOptions {
    clock: Clock;
    log: Log;
    reportIntervalMs: number;
    /** Called with the whole fleet view after changes of it, a few times a second at most. */
    changed: (agents: AgentView[]) => void;
    /** Called once for each agent that has gone, so that its work is placed elsewhere. */
    gone?: (agent: AgentView) => void;
    /** Called with each accepted report. */
    reported?: (report: Report) => void;
}
