import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { ConfigurationStatus } from "../link/entryRouter.ts";

/** Result of reading the configuration from the platform; `askedAt` is the monotonic time of the request. */
export interface PlatformRead {
    askedAt: number;
    result: Either<Failure, Configuration | undefined>;
}

/** Messages that an entry's configuration task handles. */
export type EntryConfigurationMessage =
    | { kind: "platform-read"; read: PlatformRead }
    /** A configuration from a change that this entry submitted and that was accepted. */
    | { kind: "offer"; configuration: Configuration }
    /** Replaces the addresses of the other entries. */
    | { kind: "entries"; addresses: string[] }
    /** Timer: requests the status of the other entries. */
    | { kind: "exchange" }
    /** Reads the platform and the other entries now: an agent holds a newer revision than this entry. */
    | { kind: "refresh" }
    /** Answer to a status request that was sent at `askedAt`. */
    | { kind: "status"; address: string; askedAt: number; result: Either<Failure, ConfigurationStatus> }
    /** Result of fetching the newer configuration that `statusAnswer` reported. */
    | { kind: "fetched"; statusAnswer: StatusAnswer; result: Either<Failure, Configuration | undefined> }
    | { kind: "get"; reply: Reply<Configuration | undefined> }
    /** Asks for the configuration to use for new work; the reply is a failure if new work is refused. */
    | { kind: "admit"; reply: Reply<Either<Failure, Configuration>> }
    /** Asks for this entry's own status, for other processes. */
    | { kind: "own-status"; reply: Reply<ConfigurationStatus> };

/** Another entry's answer to a status request; `confirmedAt` is converted to this process's monotonic clock. */
export interface StatusAnswer {
    address: string;
    revision: number;
    confirmedAt: number | undefined;
}

/** Settings and dependencies of an entry's configuration task. */
export interface EntryConfigurationOptions {
    /** Name of this entry. */
    entry: string;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Other entries' peer addresses from the settings, so that an entry can start while the platform is down. */
    seeds: string[];
    askStatus: (address: string) => Promise<Either<Failure, ConfigurationStatus>>;
    /** Fetches the configuration from an entry if it is newer than `afterRevision`. */
    fetchConfiguration: (
        address: string,
        afterRevision: number,
    ) => Promise<Either<Failure, Configuration | undefined>>;
    /** Starts a read of the platform now. */
    readPlatform: () => void;
    /** Called with each newly adopted configuration. */
    onAdopted: (configuration: Configuration) => void;
}
