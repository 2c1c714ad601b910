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
export interface SimulatedEntry {
    name: string;
    clock: FreezableClock;
    connection: PlatformConnection;
    adopted: number[];
    control: EntryControl;
}

/** One simulated agent. */
export interface SimulatedAgent {
    name: string;
    clock: FreezableClock;
    adopted: number[];
    configuration: Task<AgentConfigurationMessage>;
    announcement: Task<AnnouncementMessage>;
    runner: Task<RunnerMessage>;
    reporting: { state: ServingState; sequence: number };
}

/** Entries and agents with a network and a platform, all on one manual clock. */
export interface SimulatedCluster {
    clock: ManualClock;
    platform: MemoryPlatform;
    /** Entries by address. */
    entries: Map<string, SimulatedEntry>;
    agents: Map<string, SimulatedAgent>;
    /** Addresses that no call between processes reaches or leaves. */
    disconnected: Set<string>;
    /** Milliseconds added to the way back of configurations, by answering entry. */
    fetchReplyDelayMs: Map<string, number>;
    random: () => number;
    goneNotifications: { at: string; gone: string }[];
}
