import type { QueueTerms } from "../job/jobTypes.ts";

/** A queue: the path under which callers submit jobs, and how these are treated. */
export interface Queue {
    name: string;
    /** Host name of the callers' requests. */
    host: string;
    /** Requests whose path begins with it belong to the queue; the longest prefix wins. */
    pathPrefix: string;
    /** Whose workers run the queue's tasks. */
    service: string;
    /** Whether callers need no key. */
    public: boolean;
    terms: QueueTerms;
}

/** A pool of workers. */
export interface Service {
    name: string;
    /** Whether the workers refuse what does not fit. */
    enforcesCapacity: boolean;
}

/** A client account with its keys and its guarantee. */
export interface ClientAccount {
    name: string;
    keys: string[];
    /** Accelerators that belong to its jobs of priority 0 at all times. */
    guaranteedGpus: number;
}

/** The operators' declaration that is in force. */
export interface Manifest {
    /** Revision of the store at which it was written; a higher one is newer. */
    revision: number;
    /** The operators' own number, for logs. */
    version: number;
    queues: Queue[];
    services: Service[];
    clientAccounts: ClientAccount[];
    bodyLimitBytes: number;
}
