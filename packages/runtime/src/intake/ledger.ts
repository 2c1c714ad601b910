import type { ConnectionState } from "./intakeTypes.ts";

/** Memory of a connection without a request: two streams, the parser and the state. Measured with 2,000 of them. */
export const CONNECTION_BYTES = 8 * 1024;
/** Memory of an unanswered request: its objects, and the work of its handler. */
export const REQUEST_BYTES = 8 * 1024;
/** Memory for each byte of a head: the shortest headers become strings that take about four times their bytes. */
export const HEAD_FACTOR = 4;
/** Memory for each unread byte of a body: in chunks of one byte each is a buffer of its own. */
export const UNREAD_BODY_FACTOR = 200;

/** The connections of one client address. */
export interface ClientGroup {
    address: string;
    bytes: number;
    states: Set<ConnectionState>;
}

/** What the connections of a process hold, with sums for each client address. */
export interface Ledger {
    readonly totalBytes: number;
    /** Unanswered requests of all connections. */
    readonly totalRequests: number;
    readonly connections: number;
    groups(): Iterable<ClientGroup>;
    states(): Iterable<ConnectionState>;
    add(state: ConnectionState): void;
    /** Takes over changes of a state; has no effect on one that was removed. */
    update(state: ConnectionState): void;
    remove(state: ConnectionState): void;
}

/** Memory that a connection is charged for, in bytes. */
export function chargedBytes(state: ConnectionState): number {
    return (
        CONNECTION_BYTES +
        state.pendingBytes +
        state.bodyBytes +
        state.unsentBytes +
        state.queuedBytes +
        state.requests * REQUEST_BYTES +
        (state.headBytes + state.requestHeadBytes) * HEAD_FACTOR +
        state.unreadBodyBytes * UNREAD_BODY_FACTOR
    );
}

/** Creates an empty ledger. */
export function createLedger(): Ledger {
    const charges = new Map<ConnectionState, { bytes: number; requests: number }>();
    const groups = new Map<string, ClientGroup>();
    let totalBytes = 0;
    let totalRequests = 0;

    function charge(state: ConnectionState, group: ClientGroup, bytes: number, requests: number): void {
        const charged = charges.get(state) ?? { bytes: 0, requests: 0 };
        group.bytes += bytes - charged.bytes;
        totalBytes += bytes - charged.bytes;
        totalRequests += requests - charged.requests;
        charged.bytes = bytes;
        charged.requests = requests;
        charges.set(state, charged);
    }

    return {
        get totalBytes() {
            return totalBytes;
        },
        get totalRequests() {
            return totalRequests;
        },
        get connections() {
            return charges.size;
        },
        groups: () => groups.values(),
        states: () => charges.keys(),
        add(state) {
            const group = groups.get(state.address) ?? {
                address: state.address,
                bytes: 0,
                states: new Set(),
            };
            groups.set(state.address, group);
            group.states.add(state);
            charge(state, group, chargedBytes(state), state.requests);
        },
        update(state) {
            const group = groups.get(state.address);
            if (group?.states.has(state)) {
                charge(state, group, chargedBytes(state), state.requests);
            }
        },
        remove(state) {
            const group = groups.get(state.address);
            if (!group?.states.delete(state)) {
                return;
            }
            charge(state, group, 0, 0);
            charges.delete(state);
            if (group.states.size === 0) {
                groups.delete(state.address);
            }
        },
    };
}
