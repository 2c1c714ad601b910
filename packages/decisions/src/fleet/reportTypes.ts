import type { Priority } from "../document/documentTypes.ts";

/** The two kinds of backend server. */
export type ServerKind = "runner" | "worker";

/** What an agent says about itself. */
export type ServingState = "serving" | "draining" | "left";

/** What an entry believes about an agent. */
export type AgentState = ServingState | "suspect" | "unreachable" | "gone";

/** State of one accelerator: free, held by a reservation, or used by a task of a client account. */
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
    /** The agent's ledger clock; tickets expire by it. */
    ledgerTime: number;
}

/** A gang anchored at the reporting agent. */
export interface GangReport {
    gang: string;
    attempt: number;
    state: GangState;
    end?: GangEnd;
}

/** Why a gang ended without finishing. */
export type GangStopReason =
    "member-lost" | "part-failed" | "reclaimed" | "cancelled" | "time-limit" | "draining";

/** How a gang ended. */
export interface GangEnd {
    reason?: GangStopReason;
    /** False if no part was told to compute. */
    started: boolean;
    /** Time for which the gang was known to compute as a whole. */
    ranMs: number;
    /** Checkpoints of all parts; absent unless every part wrote one. */
    checkpoint?: string;
    /** The member whose loss or failure ended the gang. */
    lostAgent?: string;
}

/** State of a gang at its anchor. */
export type GangState = "committed" | "running" | "stopping" | "finished" | "failed" | "stopped";

/** Cumulative use by one client account and kind since the agent's start. */
export interface UsageCounter {
    clientAccount: string;
    kind: string;
    /** Accelerator-milliseconds for gangs, slot-milliseconds for requests. */
    milliseconds: number;
    count: number;
}

/** The periodic announcement of an agent. */
export interface Report {
    name: string;
    incarnation: string;
    /** Grows with each report of one incarnation, so that late reports are ignored. */
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

/** Position and accelerators of a worker. */
export interface WorkerLoad {
    rack: string;
    slot: number;
    accelerators: AcceleratorState[];
    /** False while the worker does not answer or runs tasks of a former agent; absent counts as true. */
    ready?: boolean;
    /** Consecutive failures and recent outcomes, newest last. */
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
    /** Attempts (`<gang>#<attempt>`) whose end the entry has recorded; the anchor forgets them. */
    recordedGangs: string[];
}
