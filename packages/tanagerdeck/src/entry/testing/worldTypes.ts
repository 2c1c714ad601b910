import type { RunnerMessage } from "@tanagerdeck/backend/runner/runnerTask";
import type { ServingState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AnnouncementMessage } from "@tanagerdeck/peer/announcement/announcementTask";
import type { AgentConfigurationMessage } from "@tanagerdeck/peer/configuration/agentConfigurationTask";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import type { Task } from "@tanagerdeck/runtime/task/task";
import type { MemoryPlatform, PlatformConnection } from "@tanagerdeck/standins/platform/memoryPlatform";
import type { FreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import type { EntryControl } from "../entryControl.ts";

/** One simulated entry; `adopted` lists the revisions in the order of their adoption. */
export interface EntryNode {
    name: string;
    clock: FreezableClock;
    connection: PlatformConnection;
    adopted: number[];
    control: EntryControl;
}

/** One simulated agent. */
export interface AgentNode {
    name: string;
    clock: FreezableClock;
    adopted: number[];
    configuration: Task<AgentConfigurationMessage>;
    announcement: Task<AnnouncementMessage>;
    runner: Task<RunnerMessage>;
    serving: { state: ServingState; sequence: number };
}

/** Entries and agents with a network and a platform, all on one manual clock. */
export interface ControlWorld {
    clock: ManualClock;
    platform: MemoryPlatform;
    /** Entries by address. */
    entries: Map<string, EntryNode>;
    agents: Map<string, AgentNode>;
    /** Addresses that no call between processes reaches or leaves. */
    cut: Set<string>;
    /** Milliseconds added to the way back of configurations, by answering entry. */
    fetchDelayMs: Map<string, number>;
    random: () => number;
    entriesGone: { at: string; gone: string }[];
}
