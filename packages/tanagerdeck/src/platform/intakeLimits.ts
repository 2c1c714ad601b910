import type { Manifest } from "@tanagerdeck/decisions/manifest/manifestTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { createIntake, createInternalIntake, type Intake } from "@tanagerdeck/runtime/intake/intake";
import { createClosingReport } from "@tanagerdeck/runtime/intake/closingReport";
import type { ClosingCause, IntakeLimits } from "@tanagerdeck/runtime/intake/intakeTypes";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { IntakeMetrics } from "@tanagerdeck/runtime/metrics/intakeMetrics";
import type { PlatformEntrySettings } from "./platformSettings.ts";

const BYTES_PER_MB = 1024 * 1024;
/** Part of the VM's memory for the connections of callers; the heap, the code and copies of jobs need the rest. */
const MEMORY_PART = 0.25;
/** Memory for the connections of callers if that of the VM is unknown. */
const DEFAULT_MEMORY_MB = 64;
/** Descriptors that the platform keeps for files. */
const FILE_DESCRIPTORS = 200;
/** Descriptors kept for the store, peers, agents, health checks and metrics. */
const INTERNAL_DESCRIPTORS = 900;
/** Descriptors of a process on the users' platform, if the settings do not give them. */
const DEFAULT_DESCRIPTORS = 4_100;
/** Fewest connections of callers, for a VM whose descriptors would leave none. */
const LEAST_CONNECTIONS = 100;
/** Requests of a connection that are read ahead of their answers; further ones wait at the client, so none is refused. */
const READ_AHEAD = 32;
/** Limits until the first manifest is known; the platform's own defaults. */
const DEFAULT_HEADER_BYTES = 16_384;
const DEFAULT_HEAD_TIMEOUT_MS = 3_000;
const DEFAULT_IDLE_TIMEOUT_MS = 15_000;
/** Connections of probes and of Prometheus; a deployment has a handful. */
const PROBE_CONNECTIONS = 200;
/** Memory for probes, whose requests have no body. */
const PROBE_MEMORY_MB = 4;
/** Connections of the worker beside an agent. */
const WORKER_CONNECTIONS = 200;
/** Memory for heartbeats, whose bodies have 64 KB at most. */
const WORKER_MEMORY_MB = 8;

/** Limits for callers: those of the settings, or else of the manifest in force, or else defaults. */
export function callerLimits(
    {
        memoryMb,
        maxDescriptors,
        intake,
    }: Pick<PlatformEntrySettings, "memoryMb" | "maxDescriptors" | "intake">,
    manifest: Manifest | undefined,
): IntakeLimits {
    const partOfMemoryMb = memoryMb === undefined ? DEFAULT_MEMORY_MB : memoryMb * MEMORY_PART;
    const descriptors = (maxDescriptors ?? DEFAULT_DESCRIPTORS) - FILE_DESCRIPTORS - INTERNAL_DESCRIPTORS;
    const idleTimeoutMs = intake?.idleTimeoutMs ?? manifest?.idleTimeoutMs ?? DEFAULT_IDLE_TIMEOUT_MS;
    return {
        memoryBytes: (intake?.memoryMb ?? partOfMemoryMb) * BYTES_PER_MB,
        maxConnections: intake?.maxConnections ?? Math.max(LEAST_CONNECTIONS, descriptors),
        readAhead: intake?.readAhead ?? READ_AHEAD,
        headerBytes: manifest?.headerLimitBytes ?? DEFAULT_HEADER_BYTES,
        headTimeoutMs: intake?.headTimeoutMs ?? manifest?.headerTimeoutMs ?? DEFAULT_HEAD_TIMEOUT_MS,
        stallTimeoutMs: idleTimeoutMs,
        idleTimeoutMs,
    };
}

/** Returns a function that computes limits only when its inputs have changed, since they are read for each request. */
export function cacheLimits(
    settings: () => PlatformEntrySettings,
    manifest: () => Manifest | undefined,
): () => IntakeLimits {
    let usedSettings = settings();
    let usedManifest = manifest();
    let limits = callerLimits(usedSettings, usedManifest);
    return () => {
        if (settings() !== usedSettings || manifest() !== usedManifest) {
            usedSettings = settings();
            usedManifest = manifest();
            limits = callerLimits(usedSettings, usedManifest);
        }
        return limits;
    };
}

/** Dependencies of a process's intakes. */
export interface IntakeSetOptions {
    clock: Clock;
    log: Log;
    metrics: IntakeMetrics;
}

/** Creates the intakes of one process, which share the report of closed connections. */
export interface IntakeSet {
    forCallers(limits: () => IntakeLimits): Intake;
    forPeers(): Intake;
    forProbes(): Intake;
    forWorker(): Intake;
}

/** Creates the intakes of a process. Each listener but those of callers has its own, so that none crowds out another. */
export function createIntakeSet({ clock, log, metrics }: IntakeSetOptions): IntakeSet {
    const report = createClosingReport(log, clock);
    const onClosed = (cause: ClosingCause): void => {
        metrics.closed(cause);
        report(cause);
    };
    return {
        forCallers(limits) {
            const intake = createIntake({ limits, clock, onClosed });
            metrics.follow(intake);
            return intake;
        },
        forPeers: () => createInternalIntake({}, onClosed),
        forProbes: () =>
            createInternalIntake(
                { memoryBytes: PROBE_MEMORY_MB * BYTES_PER_MB, maxConnections: PROBE_CONNECTIONS },
                onClosed,
            ),
        forWorker: () =>
            createInternalIntake(
                { memoryBytes: WORKER_MEMORY_MB * BYTES_PER_MB, maxConnections: WORKER_CONNECTIONS },
                onClosed,
            ),
    };
}
