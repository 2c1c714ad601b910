import { systemClock, type Clock, type TimerStop } from "../clock/clock.ts";
import { readReceived } from "../http/replyTimer.ts";
import { createBufferPool, type BufferPool } from "./bufferPool.ts";
import { chooseForConnections, chooseForMemory } from "./closingChoice.ts";
import type { ClosingCause, ConnectionState, IntakeLimits } from "./intakeTypes.ts";
import { createLedger } from "./ledger.ts";
import { hasRoom, mayPass } from "./readGate.ts";
import { exceededTimeLimit } from "./timeLimits.ts";

/** A connection as the intake sees it. */
export interface IntakeConnection {
    state: ConnectionState;
    /** Brings `state` up to date with what is not reported as it happens. */
    refresh(): void;
    close(): void;
    /** Called when the connection may be read again after `waitForRoom`. */
    readAgain(): void;
    /** Called in a turn of the event loop after `schedule`. */
    takeTurn(): void;
}

/** Controls what the listeners of a process take in. Several listeners can share one. */
export interface Intake {
    readonly limits: IntakeLimits;
    readonly clock: Clock;
    readonly buffers: BufferPool;
    readonly bytes: number;
    readonly connections: number;
    /** Takes a new connection in; may close another one. */
    admit(connection: IntakeConnection): void;
    /** Takes over a changed state; may close this or another connection. */
    update(state: ConnectionState): void;
    release(state: ConnectionState): void;
    mayPass(state: ConnectionState): boolean;
    /** Registers a connection that may not be read now, if it waits for others and not for its own answers. */
    waitForRoom(connection: IntakeConnection): void;
    /** Lets a connection pass bytes on in one of the next turns of the event loop. */
    schedule(connection: IntakeConnection): void;
    /** Takes back a buffer that has collected a body. */
    giveBuffer(buffer: Buffer): void;
    /** Counts a connection that its listener closes. */
    noteClosed(cause: ClosingCause): void;
}

/** Dependencies of an intake. */
export interface IntakeOptions {
    /** The limits in force; called each time they are applied. */
    limits: () => IntakeLimits;
    clock: Clock;
    onClosed: (cause: ClosingCause) => void;
}

/** Interval at which time limits are checked while connections are open; small against the shortest limit of seconds. */
const SWEEP_INTERVAL_MS = 500;

/**
 * Connections that pass bytes on in one turn of the event loop. A turn then takes a few milliseconds at most; the event
 * loop accepts one connection a turn, so those of other clients would wait for seconds otherwise.
 */
const CONNECTIONS_PER_TURN = 64;
/** Part of the memory budget that buffers may take between two uses, beyond the budget. */
const POOLED_PART = 0.25;
/** Time after a search that found no connection to close; each search looks at all connections. */
const SEARCH_PAUSE_MS = 50;

/**
 * Limits of listeners that serve only this system's processes, operators and probes. They are finite, so that a fault
 * of a client cannot use up the memory, and above what these clients need.
 */
export const INTERNAL_LIMITS: IntakeLimits = {
    // Several bodies of 8 MB, the largest of calls between processes, at a time.
    memoryBytes: 64 * 1024 * 1024,
    // More than the processes of the largest deployment open.
    maxConnections: 2_000,
    readAhead: 32,
    headerBytes: 16 * 1024,
    // A process may be suspended for some seconds in the middle of a head.
    headTimeoutMs: 10_000,
    // A large body on a slow link pauses for several seconds.
    stallTimeoutMs: 60_000,
    // The 5 s that Node keeps idle connections open, and 1 s as a margin for requests on their way.
    idleTimeoutMs: 6_000,
};

/** Creates the intake of listeners that serve only this system's processes, operators and probes. */
export function createInternalIntake(
    limits: Partial<IntakeLimits> = {},
    onClosed: (cause: ClosingCause) => void = () => undefined,
): Intake {
    const merged = { ...INTERNAL_LIMITS, ...limits };
    return createIntake({ limits: () => merged, clock: systemClock, onClosed });
}

/** Creates an intake. */
export function createIntake({ limits, clock, onClosed }: IntakeOptions): Intake {
    const ledger = createLedger();
    const buffers = createBufferPool();
    const connections = new Map<ConnectionState, IntakeConnection>();
    const waiting = new Set<IntakeConnection>();
    let scheduled: IntakeConnection[] = [];
    let stopSweepTimer: TimerStop | undefined;
    let isSweeping = false;
    let isResuming = false;
    let searchAgainAtMs = 0;

    function closeFor(cause: ClosingCause, state: ConnectionState): void {
        const connection = connections.get(state);
        release(state);
        onClosed(cause);
        connection?.close();
    }

    function release(state: ConnectionState): void {
        const connection = connections.get(state);
        if (connection) {
            connections.delete(state);
            waiting.delete(connection);
            ledger.remove(state);
            resumeIfRoom();
        }
        if (connections.size === 0) {
            stopSweepTimer?.();
            stopSweepTimer = undefined;
            buffers.clear();
        }
    }

    function enforceMemory(): void {
        const { memoryBytes } = limits();
        if (ledger.totalBytes <= memoryBytes || clock.now() < searchAgainAtMs) {
            return;
        }
        while (ledger.totalBytes > memoryBytes) {
            const chosen = chooseForMemory(ledger.groups(), memoryBytes, clock.now());
            if (!chosen) {
                searchAgainAtMs = clock.now() + SEARCH_PAUSE_MS;
                return;
            }
            closeFor("memory", chosen);
        }
    }

    function enforceConnections(newest: ConnectionState): void {
        const { maxConnections } = limits();
        while (ledger.connections > maxConnections) {
            const chosen = chooseForConnections(ledger.groups(), newest, clock.now());
            if (!chosen) {
                return;
            }
            closeFor("connections", chosen);
        }
    }

    function takeTurns(): void {
        const taken = scheduled.slice(0, CONNECTIONS_PER_TURN);
        scheduled = scheduled.slice(CONNECTIONS_PER_TURN);
        if (scheduled.length > 0) {
            setImmediate(takeTurns);
        }
        for (const connection of taken) {
            connection.takeTurn();
        }
    }

    function resumeIfRoom(): void {
        if (waiting.size > 0 && hasRoom(ledger, limits())) {
            resumeWaiting();
        }
    }

    function resumeWaiting(): void {
        if (isResuming || waiting.size === 0) {
            return;
        }
        isResuming = true;
        setImmediate(() => {
            isResuming = false;
            const resumed = [...waiting];
            waiting.clear();
            for (const connection of resumed) {
                connection.readAgain();
            }
        });
    }

    function sweepLater(): void {
        if (!isSweeping && !stopSweepTimer && connections.size > 0) {
            stopSweepTimer = clock.startTimer(SWEEP_INTERVAL_MS, () => void sweep());
        }
    }

    async function sweep(): Promise<void> {
        stopSweepTimer = undefined;
        isSweeping = true;
        for (const connection of connections.values()) {
            connection.refresh();
            ledger.update(connection.state);
        }
        const exceeded = [...connections.keys()].filter(findExceeded);
        if (exceeded.length > 0) {
            // After a pause of the process, what came in time is read first.
            await readReceived();
        }
        for (const state of exceeded) {
            connections.get(state)?.refresh();
            const cause = connections.has(state) ? findExceeded(state) : undefined;
            if (cause) {
                closeFor(cause, state);
            }
        }
        enforceMemory();
        resumeWaiting();
        releaseBuffers();
        isSweeping = false;
        sweepLater();
    }

    function findExceeded(state: ConnectionState): ClosingCause | undefined {
        return exceededTimeLimit(state, limits(), clock.now());
    }

    function releaseBuffers(): void {
        if (buffers.bytes === 0) {
            return;
        }
        for (const state of connections.keys()) {
            if (state.bodyBytes > 0) {
                return;
            }
        }
        buffers.clear();
    }

    return {
        get limits() {
            return limits();
        },
        clock,
        buffers,
        get bytes() {
            return ledger.totalBytes;
        },
        get connections() {
            return ledger.connections;
        },
        admit(connection) {
            connections.set(connection.state, connection);
            ledger.add(connection.state);
            enforceConnections(connection.state);
            enforceMemory();
            sweepLater();
        },
        update(state) {
            const before = ledger.totalBytes;
            ledger.update(state);
            if (ledger.totalBytes > before) {
                enforceMemory();
            } else if (ledger.totalBytes < before) {
                resumeIfRoom();
            }
        },
        release,
        mayPass: state => mayPass(state, ledger, limits()),
        waitForRoom(connection) {
            if (!hasRoom(ledger, limits())) {
                waiting.add(connection);
            }
        },
        schedule(connection) {
            scheduled.push(connection);
            if (scheduled.length === 1) {
                setImmediate(takeTurns);
            }
        },
        giveBuffer(buffer) {
            buffers.give(buffer, limits().memoryBytes * POOLED_PART);
        },
        noteClosed: onClosed,
    };
}
