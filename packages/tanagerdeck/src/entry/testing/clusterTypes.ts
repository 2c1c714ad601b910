import type { RunnerMessage } from "@tanagerdeck/backend/runner/runnerTask";
import type { ServingState } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { AnnouncementMessage } from "@tanagerdeck/peer/announcement/announcementTask";
import type { AgentConfigurationMessage } from "@tanagerdeck/peer/configuration/agentConfigurationTask";
import type { ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import type { Task } from "@tanagerdeck/runtime/task/task";
import type { MemoryPlatform, PlatformConnection } from "@tanagerdeck/standins/platform/memoryPlatform";
import type { FreezableClock } from "@tanagerdeck/standins/polling/freezableClock";
import type { EntryControl } from "../entryControl.ts";

/** A simulated entry. `adopted` lists the configuration revisions in the order in which they were adopted. */
export interface SimulatedEntry {
    name: string;
    clock: FreezableClock;
    connection: PlatformConnection;
    adopted: number[];
    control: EntryControl;
}

/** A simulated agent with its configuration, announcement and runner tasks. */
export interface SimulatedAgent {
    name: string;
    clock: FreezableClock;
    adopted: number[];
    configuration: Task<AgentConfigurationMessage>;
    announcement: Task<AnnouncementMessage>;
    runner: Task<RunnerMessage>;
    /** State and sequence number of the next report. */
    reporting: { state: ServingState; sequence: number };
}

/** Entries and agents with a simulated network and platform, all on one manual clock. */
export interface SimulatedCluster {
    clock: ManualClock;
    platform: MemoryPlatform;
    /** Entries by address. */
    entries: Map<string, SimulatedEntry>;
    /** Agents by address. */
    agents: Map<string, SimulatedAgent>;
    /** Addresses of processes that can neither call other processes nor be called by them. */
    disconnected: Set<string>;
    /** Additional delay of configuration replies in milliseconds, by the address of the replying entry. */
    fetchReplyDelayMs: Map<string, number>;
    random: () => number;
    /** Entries found gone (`gone`), with the entry that noticed it (`at`). */
    goneNotifications: { at: string; gone: string }[];
}
