/** How far apart the accelerators of one shape may be. */
export type TopologySpan = "worker" | "rack" | "neighbouring-racks";

/** A number of adjacent accelerators within one span. */
export interface Shape {
    span: TopologySpan;
    accelerators: number;
}

/** Limits of one client account. `waiting` bounds queued requests and jobs. */
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

/** Order of service between kinds. */
export type Priority = "urgent" | "normal" | "batch";

/** `request` kinds are answered by a runner; `gang` kinds run on accelerators of workers. */
export type WorkForm = "request" | "gang";

/** Upper limits of one request or job of a kind. `bytes` bounds the body. */
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

/** Declared hardware. Consecutive racks of one availability zone are neighbours. */
export interface Rack {
    name: string;
    availabilityZone: string;
    workers: number;
    acceleratorsPerWorker: number;
}

/** Relative importance of the two measures in placement and queue order. */
export interface Weights {
    completionTime: number;
    fragmentation: number;
}

/** What a process does with new work while it cannot confirm its configuration. */
export type UnreachablePolicy = "serve" | "serve-while-peers-agree" | "refuse";

/**
 * The operators' declaration. It does not name its environment, so that the bytes that were tried in one
 * environment are promoted unchanged to another; the environment comes from the settings.
 */
export interface ConfigurationDocument {
    clientAccounts: ClientAccount[];
    kinds: WorkKind[];
    racks: Rack[];
    weights: Weights;
    whenPlatformUnreachable: UnreachablePolicy;
}

/** One accelerator; a worker is a slot of a rack, `index` counts within the worker. All count from 0. */
export interface Accelerator {
    rack: string;
    slot: number;
    index: number;
}

/** Position of a worker: a slot of a rack, counted from 0. */
export interface WorkerPosition {
    rack: string;
    slot: number;
}

/** The accelerators that hold one guaranteed shape of a client account. */
export interface Binding {
    clientAccount: string;
    /** Position in the account's `guarantees`. */
    guarantee: number;
    shape: Shape;
    accelerators: Accelerator[];
}

/** An accepted document. `digest` is the hex SHA-256 of the document's bytes; `revision` grows by one. */
export interface Configuration {
    revision: number;
    digest: string;
    /** Identifies the change, so that an operator can find out whether a lost reply meant acceptance. */
    changeId: string;
    document: ConfigurationDocument;
    bindings: Binding[];
}
