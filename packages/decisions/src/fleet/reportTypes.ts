import type { Priority } from "../document/documentTypes.ts";

/** The two kinds of backend server. */
export type ServerKind = "runner" | "worker";

/** State of an agent as it reports it. */
export type ServingState = "serving" | "draining" | "left";

/** State of an agent as an entry sees it: the reported state, or one derived from missing reports. */
export type AgentState = ServingState | "suspect" | "unreachable" | "gone";

/**
 * State of one accelerator: free, held by a reservation, or used by a task. A `reclaimable` use can be preempted
 * by the client account that is entitled to the accelerator.
 */
export type AcceleratorState =
    | { kind: "free" }
    | { kind: "held"; clientAccount: string }
    | { kind: "used"; clientAccount: string; reclaimable: boolean };

/** Load of a runner. Times are milliseconds. */
export interface RunnerLoad {
    slots: number;
    running: number;
    waiting: number;
    expectedWaitMs: number;
    /** Typical run time of recent requests. */
    typicalRunMs: number;
    /** Expected wait of a new request by its priority. */
    waitByPriority: Record<Priority, number>;
    /** Time of the agent's ledger clock, which decides when tickets expire. */
    ledgerTime: number;
}

/** State of a gang whose anchor is the reporting agent. */
export interface GangReport {
    gang: string;
    attempt: number;
    state: GangState;
    end?: GangEnd;
}

/** Why an attempt of a gang ended before it finished. */
export type GangStopReason =
    "member-lost" | "part-failed" | "reclaimed" | "cancelled" | "time-limit" | "draining";

/** How an attempt of a gang ended. */
export interface GangEnd {
    reason?: GangStopReason;
    /** False if no part was instructed to compute. */
    started: boolean;
    /** Time for which all parts of the gang were known to compute. */
    ranMs: number;
    /** Checkpoints of all parts; present only if every part wrote one. */
    checkpoint?: string;
    /** The member whose loss or failure ended the gang. */
    lostAgent?: string;
}

/** State of a gang as its anchor sees it. */
export type GangState = "committed" | "running" | "stopping" | "finished" | "failed" | "stopped";

/** Cumulative usage by one client account and kind since the agent's start. */
export interface UsageCounter {
    clientAccount: string;
    kind: string;
    /** Accelerator-milliseconds for gangs, slot-milliseconds for requests. */
    milliseconds: number;
    count: number;
}

/** The state that an agent sends periodically to the entries. */
export interface Report {
    name: string;
    incarnation: string;
    /** Increases with each report of one incarnation, so that a report that arrives late is ignored. */
    sequence: number;
    /** `ip:port` of the agent's peer listener. */
    address: string;
    availabilityZone: string;
    server: ServerKind;
    state: ServingState;
    configurationRevision: number;
    runner?: RunnerLoad;
    worker?: WorkerLoad;
    gangs: GangReport[];
    usage: UsageCounter[];
}

/** Position, accelerators and condition of a worker. */
export interface WorkerLoad {
    rack: string;
    slot: number;
    accelerators: AcceleratorState[];
    /** False while the worker does not answer or runs tasks of an earlier agent process; absent counts as true. */
    ready?: boolean;
    /** Outcomes of the most recent tasks, newest last. */
    recentOutcomes: ("succeeded" | "failed")[];
}

/** An entry's answer to a report. */
export interface ReportReply {
    accepted: boolean;
    refusal?: "name-in-use" | "wrong-availability-zone" | "wrong-position";
    entries: string[];
    configurationRevision: number;
    /** Milliseconds since that revision was last confirmed by the platform; undefined if it never was. */
    configurationConfirmedAgoMs?: number;
    reportIntervalMs: number;
    /** Attempts (`<gang>#<attempt>`) whose end the entry has recorded; the anchor can drop them. */
    recordedGangs: string[];
}
