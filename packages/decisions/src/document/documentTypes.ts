/** The part of the topology within which the accelerators of one shape must lie. */
export type TopologySpan = "worker" | "rack" | "neighbouring-racks";

/** A number of accelerators that must lie within one span. */
export interface Shape {
    span: TopologySpan;
    accelerators: number;
}

/** Limits of one client account. `waiting` limits the number of queued requests and jobs. */
export interface Quota {
    accelerators: number;
    requestsPerSecond: number;
    waiting: number;
}

/** A client account with its guaranteed shapes; `tokenDigests` are hex SHA-256 digests of bearer tokens. */
export interface ClientAccount {
    name: string;
    tokenDigests: string[];
    guarantees: Shape[];
    quota: Quota;
    /** Share of contended capacity relative to the other client accounts. */
    weight: number;
}

/** Priority of a kind in queues, highest first. */
export type Priority = "urgent" | "normal" | "batch";

/** How a kind runs: a runner answers a `request`; a `gang` runs on accelerators of workers. */
export type WorkForm = "request" | "gang";

/** Limits of one request or job of a kind. `bytes` limits the size of the body, `seconds` the run time. */
export interface KindLimits {
    seconds: number;
    bytes: number;
    accelerators: number;
}

/** A registered kind of request or job. A kind that is not `repeatable` runs at most once. */
export interface WorkKind {
    name: string;
    clientAccounts: string[];
    repeatable: boolean;
    form: WorkForm;
    limits: KindLimits;
    priority: Priority;
}

/** A declared rack. Racks of one availability zone that follow each other in the document are neighbours. */
export interface Rack {
    name: string;
    availabilityZone: string;
    workers: number;
    acceleratorsPerWorker: number;
}

/** Weights of the two objectives of placement and queue order. */
export interface Weights {
    completionTime: number;
    fragmentation: number;
}

/** Whether a process accepts new work while it cannot confirm its configuration with the platform. */
export type UnreachablePolicy = "serve" | "serve-while-peers-agree" | "refuse";

/**
 * The configuration as the operators declare it. It does not name its environment, which comes from the settings, so
 * the same bytes can be tested in one environment and then promoted to another.
 */
export interface ConfigurationDocument {
    clientAccounts: ClientAccount[];
    kinds: WorkKind[];
    racks: Rack[];
    weights: Weights;
    whenPlatformUnreachable: UnreachablePolicy;
}

/** Position of one accelerator: rack, slot of its worker in the rack, and index in the worker. Both count from 0. */
export interface Accelerator {
    rack: string;
    slot: number;
    index: number;
}

/** Position of a worker: its rack and its slot in the rack, counted from 0. */
export interface WorkerPosition {
    rack: string;
    slot: number;
}

/** The accelerators that are assigned to one guaranteed shape of a client account. */
export interface Binding {
    clientAccount: string;
    /** Index in the account's `guarantees`. */
    guarantee: number;
    shape: Shape;
    accelerators: Accelerator[];
}

/** An accepted document. `digest` is the hex SHA-256 of its bytes; each accepted document raises `revision` by one. */
export interface Configuration {
    revision: number;
    digest: string;
    /** Identifies the change: if the reply is lost, the operator can look up whether the change was accepted. */
    changeId: string;
    document: ConfigurationDocument;
    bindings: Binding[];
}
