import type { ConnectionState } from "./intakeTypes.ts";
import { chargedBytes, type ClientGroup } from "./ledger.ts";

/**
 * Charge up to which a connection counts as small: a request with a head of 4 KB and a body of 16 KB stays below. Jobs
 * with a usual number of steps take a few KB.
 */
export const SMALL_BYTES = 48 * 1024;
/** Time without progress after which a client counts as stalled; clients on slow links send more often. */
export const STALLED_MS = 1_000;
/** Part of a request's age that counts as time without progress, since single bytes are progress too. */
const AGE_PART = 0.25;
/** Added to each time, so that sizes count among connections that have all made progress just now. */
const BASE_MS = 50;

type Test = (state: ConnectionState) => boolean;
type Score = (state: ConnectionState) => number;

/**
 * Chooses the connection to close while the process holds more than `memoryBytes`: of the client that holds the most,
 * the one that holds the most and has gone longest without progress. Undefined if there is none that may be closed.
 * A client below its equal share of the memory loses no connection, and neither does a whole request whose client reads
 * its answers.
 */
export function chooseForMemory(
    groups: Iterable<ClientGroup>,
    memoryBytes: number,
    nowMs: number,
): ConnectionState | undefined {
    const sorted = [...groups].sort((a, b) => b.bytes - a.bytes);
    const shareBytes = memoryBytes / sorted.length;
    const score: Score = state => chargedBytes(state) * heldMs(state, nowMs);
    for (const { bytes, states } of sorted) {
        if (bytes < shareBytes) {
            return undefined;
        }
        const chosen =
            best(states, state => isClosable(state, nowMs) && chargedBytes(state) > SMALL_BYTES, score) ??
            best(states, state => isClosable(state, nowMs) && isStalled(state, nowMs), score) ??
            best(states, isIdle, state => idleMs(state, nowMs));
        if (chosen) {
            return chosen;
        }
    }
    return undefined;
}

/**
 * Chooses the connection to close when `newest` is one too many: the longest idle one of the client with the most
 * connections, or else one of that client without a whole request, or else the longest idle one of any client, or else
 * one without a whole request, and last one with it.
 */
export function chooseForConnections(
    groups: Iterable<ClientGroup>,
    newest: ConnectionState,
    nowMs: number,
): ConnectionState | undefined {
    const all = [...groups];
    const allStates = all.flatMap(group => [...group.states]);
    const most = all.reduce((a, b) => (b.states.size > a.states.size ? b : a)).states;
    const isOther: Test = state => state !== newest;
    const isOtherIdle: Test = state => isOther(state) && isIdle(state);
    const isUnfinished: Test = state => isOther(state) && state.wholeRequests === 0;
    const idle: Score = state => idleMs(state, nowMs);
    const held: Score = state => heldMs(state, nowMs);
    return (
        best(most, isOtherIdle, idle) ??
        best(most, isUnfinished, held) ??
        best(allStates, isOtherIdle, idle) ??
        best(allStates, isUnfinished, held) ??
        best(most, isOther, held)
    );
}

/** Whether a connection has neither a request nor a part of one. */
export function isIdle(state: ConnectionState): boolean {
    return (
        state.requests === 0 && !state.isInBody && state.headSinceMs === undefined && state.pendingBytes === 0
    );
}

/** Whether closing the connection ends no whole request, or only such whose answers the client does not read. */
function isClosable(state: ConnectionState, nowMs: number): boolean {
    if (isIdle(state)) {
        return false;
    }
    const isUnread = state.unsentBytes > 0 && nowMs - state.sentAtMs >= STALLED_MS;
    return state.wholeRequests === 0 || isUnread;
}

function isStalled(state: ConnectionState, nowMs: number): boolean {
    const sinceMs = state.unsentBytes > 0 ? state.sentAtMs : state.requestSinceMs;
    return nowMs - sinceMs >= STALLED_MS;
}

function idleMs(state: ConnectionState, nowMs: number): number {
    return nowMs - state.idleSinceMs;
}

function heldMs(state: ConnectionState, nowMs: number): number {
    const progressAtMs = state.unsentBytes > 0 ? state.sentAtMs : state.receivedAtMs;
    return BASE_MS + (nowMs - progressAtMs) + AGE_PART * (nowMs - state.requestSinceMs);
}

function best(states: Iterable<ConnectionState>, test: Test, score: Score): ConnectionState | undefined {
    let chosen: ConnectionState | undefined;
    let highest = -1;
    for (const state of states) {
        if (!test(state)) {
            continue;
        }
        const value = score(state);
        if (value > highest) {
            chosen = state;
            highest = value;
        }
    }
    return chosen;
}
