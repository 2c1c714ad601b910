import type { QueueTerms } from "../job/jobTypes.ts";

/** A queue: the host and path under which callers submit jobs, and the terms of these jobs. */
export interface Queue {
    name: string;
    /** Host name that callers send their requests to. */
    host: string;
    /** Path prefix of the queue's requests; if several prefixes match, the longest wins. */
    pathPrefix: string;
    /** Name of the service whose workers run the queue's tasks. */
    service: string;
    /** Whether callers may submit without a key. */
    public: boolean;
    terms: QueueTerms;
}

/** A service: a pool of workers. */
export interface Service {
    name: string;
    /** Whether the workers refuse tasks that exceed their capacity. */
    enforcesCapacity: boolean;
}

/** A client account with its API keys and its guaranteed GPUs. */
export interface ClientAccount {
    name: string;
    keys: string[];
    /** Number of GPUs that are always available to the account's jobs of priority 0. */
    guaranteedGpus: number;
}

/** The configuration in force, as the operators declared it. */
export interface Manifest {
    /** Store revision at which the manifest was written; a higher one is newer. */
    revision: number;
    /** Version number set by the operators; used only in logs. */
    version: number;
    queues: Queue[];
    services: Service[];
    clientAccounts: ClientAccount[];
    /** Longest body of a request. */
    bodyLimitBytes: number;
    /** Longest head of a request. */
    headerLimitBytes: number;
    /** Time until the head of a request must be complete. */
    headerTimeoutMs: number;
    /** Time without progress after which a connection is closed. */
    idleTimeoutMs: number;
    /** Features that the manifest asks for and that do not exist. */
    unsupported?: string[] | undefined;
}

/** What an operator's key beside the manifest asks for. */
export type OperatorKey =
    | { kind: "evacuation"; zone: string }
    /** A request for a feature that does not exist. */
    | { kind: "unsupported"; feature: string };
