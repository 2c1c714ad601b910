import type { ProxyStandin } from "../network/proxyStandin.ts";
import type { ChildProcess } from "../processes/childProcess.ts";
import type { MemoryStore } from "../keyvalue/memoryStore.ts";
import type { WorkerServer } from "./workerServer.ts";
import type { TaskWorker } from "./taskWorker.ts";

/** Sizes and times of an emulated deployment. */
export interface EmulatorOptions {
    /** Folder of the bundles, filled by `bundlePrograms`. */
    programs: string;
    entries: number;
    workers: number;
    workersPerRack: number;
    longestHoldMs: number;
    stopDurationMs: number;
    gangTimeoutMs: number;
    heartbeatIntervalMs: number;
}

/** A process of the system that can be ended and started again. */
export interface EmulatedProcess {
    name: string;
    child: ChildProcess;
    /** The proxy in front of the store for this process alone. */
    storeProxy: ProxyStandin;
    /** Starts the program again if it has ended. */
    restart(): Promise<void>;
    /** Text that all its lives printed. */
    output(): string;
}

/** An entry with the address that callers use. */
export interface EmulatedEntry extends EmulatedProcess {
    callerAddress: string;
    callerProxy: ProxyStandin;
    readyAddress: string;
}

/** An agent with the worker beside it. */
export interface EmulatedAgent extends EmulatedProcess {
    worker: TaskWorker;
    server: WorkerServer;
    /** Lets the worker crash and start again. */
    rebootWorker(): void;
}

/** Keys and limits of a client account. */
export interface EmulatedAccount {
    name: string;
    keys: string[];
    guaranteedGpus: number;
}

/** A running deployment: the platform's stand-ins in this process, the system as processes of their own. */
export interface EmulatedDeployment {
    store: MemoryStore;
    entries: EmulatedEntry[];
    agents: EmulatedAgent[];
    accounts: EmulatedAccount[];
    /** Writes the manifest with the present accounts; returns its version. */
    writeManifest(): number;
    /** Text that the processes printed. */
    output(): string;
    stop(): Promise<void>;
}
