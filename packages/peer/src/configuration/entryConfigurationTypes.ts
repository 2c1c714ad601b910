import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Reply } from "@tanagerdeck/runtime/task/task";
import type { ConfigurationStatus } from "../link/entryRouter.ts";

/** Result of a read of the platform; `askedAt` is the monotonic time at which it was sent. */
export interface PlatformRead {
    askedAt: number;
    result: Either<Failure, Configuration | undefined>;
}

/** Messages of an entry's configuration holder. */
export type EntryConfigurationMessage =
    | { kind: "platform-read"; read: PlatformRead }
    /** A configuration that this entry has just got accepted. */
    | { kind: "offer"; configuration: Configuration }
    | { kind: "entries"; addresses: string[] }
    | { kind: "exchange" }
    /** An agent refused a call because this entry is behind. */
    | { kind: "refresh" }
    | { kind: "status"; address: string; askedAt: number; result: Either<Failure, ConfigurationStatus> }
    | { kind: "fetched"; statusAnswer: StatusAnswer; result: Either<Failure, Configuration | undefined> }
    | { kind: "get"; reply: Reply<Configuration | undefined> }
    /** The configuration for new work, or why new work is refused. */
    | { kind: "admit"; reply: Reply<Either<Failure, Configuration>> }
    | { kind: "own-status"; reply: Reply<ConfigurationStatus> };

/** What another entry answered; `confirmedAt` is on this process's clock. */
export interface StatusAnswer {
    address: string;
    revision: number;
    confirmedAt: number | undefined;
}

/** Dependencies of an entry's configuration holder. */
export interface EntryConfigurationOptions {
    entry: string;
    clock: Clock;
    log: Log;
    random: () => number;
    /** Other entries' peer addresses from the settings, for a start while the platform is down. */
    seeds: string[];
    askStatus: (address: string) => Promise<Either<Failure, ConfigurationStatus>>;
    fetch: (address: string, afterRevision: number) => Promise<Either<Failure, Configuration | undefined>>;
    /** Asks the platform at once. */
    readPlatform: () => void;
    /** Called with each newly adopted configuration. */
    adopted: (configuration: Configuration) => void;
}
