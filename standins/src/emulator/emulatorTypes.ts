import type { Resources } from "@tanagerdeck/decisions/job/jobTypes";
import type { ProxyStandin } from "../network/proxyStandin.ts";
import type { ChildProcess } from "../processes/childProcess.ts";
import type { MemoryStore } from "../keyvalue/memoryStore.ts";
import type { WorkerServer } from "./workerServer.ts";
import type { TaskWorker } from "./taskWorker.ts";

/** Size and timing of an emulated deployment. */
export interface EmulatorOptions {
    /** Folder of the bundles, filled by `bundlePrograms`. */
    programs: string;
    entries: number;
    workers: number;
    workersPerRack: number;
    /** Workers of each availability zone; if absent, the workers are spread over as many zones as there are entries. */
    zoneSizes?: number[];
    /** Capacity of each worker; `CAPACITY` if absent. */
    capacity?: Resources;
    /** Factors by which tasks take longer, given to the workers in turn; 1 if absent. */
    durationFactors?: number[];
    /** Kind labels, given to the workers in turn; "a" if absent. */
    kinds?: string[];
    /** Attempts of each queue in the order of `QUEUES`; 4 if absent. */
    attempts?: number[];
    /** Longest time by which one call can extend a worker's lease. */
    longestHoldMs: number;
    /** Time from a stop call until the task has ended. */
    stopDurationMs: number;
    /** Time after which a gang task ends as `alone` if its gang is incomplete. */
    gangTimeoutMs: number;
    heartbeatIntervalMs: number;
    /** Whether the settings of the processes turn on the evacuation of availability zones; false if absent. */
    followsEvacuations?: boolean;
    /** Node flags of all entries and agents. */
    nodeFlags?: string[];
    /** Further settings of all entries and agents. */
    settings?: object;
}

/** A process of the system that a test can end and restart. */
export interface EmulatedProcess {
    name: string;
    child: ChildProcess;
    /** Proxy between this process alone and the store. */
    storeProxy: ProxyStandin;
    /** Starts the program again if it has ended; concurrent calls share one start. */
    restart(): Promise<void>;
    /** Output of the process, including that from before its restarts. */
    output(): string;
}

/** An entry with its addresses and the proxy between callers and it. */
export interface EmulatedEntry extends EmulatedProcess {
    callerAddress: string;
    callerProxy: ProxyStandin;
    readyAddress: string;
}

/** An agent with the emulated worker that it manages. */
export interface EmulatedAgent extends EmulatedProcess {
    worker: TaskWorker;
    server: WorkerServer;
    /** Availability zone of the worker, as its heartbeats state it. */
    availabilityZone: string;
    /** Kind and rack of the worker. */
    labels: string[];
    /** Crashes the worker and boots it again. */
    rebootWorker(): void;
}

/** API keys and guarantee of a client account. */
export interface EmulatedAccount {
    name: string;
    keys: string[];
    guaranteedGpus: number;
}

/** A running deployment: the store and the workers run in this process, entries and agents as separate processes. */
export interface EmulatedDeployment {
    store: MemoryStore;
    /** Delay of each call to the store. */
    storeDelay: { ms: number };
    entries: EmulatedEntry[];
    agents: EmulatedAgent[];
    accounts: EmulatedAccount[];
    /** Writes the manifest with the current accounts to the store and returns its version. */
    writeManifest(): number;
    /** Availability zones of the workers. */
    zones: string[];
    /** Writes the operator's request to evacuate a zone to the store and reports the event. */
    evacuate(zone: string): void;
    /** Removes the request; does nothing if the zone is not evacuated. */
    restore(zone: string): void;
    /** Output of all processes. */
    output(): string;
    stop(): Promise<void>;
}
