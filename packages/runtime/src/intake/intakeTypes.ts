/** Why a listener closed a connection. */
export type ClosingCause =
    "head-timeout" | "head-size" | "body-timeout" | "unread-answer" | "memory" | "connections" | "idle";

/** Limits of what the connections of a process may hold. All of them can change while connections are open. */
export interface IntakeLimits {
    /** Bytes that all connections may hold together. */
    memoryBytes: number;
    /** Open connections. */
    maxConnections: number;
    /** Unanswered requests of a connection up to which it is read. */
    readAhead: number;
    /** Longest head of a request, in bytes. */
    headerBytes: number;
    /** Time until a head that has begun must be complete. */
    headTimeoutMs: number;
    /** Time without progress after which a body or an answer that the client does not read ends the connection. */
    stallTimeoutMs: number;
    /** Time for which a connection without a request stays open. */
    idleTimeoutMs: number;
}

/** What one connection holds, and the times of its progress on the monotonic clock. */
export interface ConnectionState {
    /** Address of the client, without its port. */
    address: string;
    /** Bytes that were received and not passed to the parser. */
    pendingBytes: number;
    /** Bytes of the unfinished head that were passed to the parser. */
    headBytes: number;
    /** Capacity of the buffers that collect bodies. */
    bodyBytes: number;
    /** Bytes of the current body that the parser has produced and nobody has read. */
    unreadBodyBytes: number;
    /** Requests whose head is complete and whose answer is not. */
    requests: number;
    /** Those of `requests` that were received whole. */
    wholeRequests: number;
    /** Bytes of the heads of `requests`. */
    requestHeadBytes: number;
    /** Bytes of answers that the system has not taken, since the client does not read them. */
    unsentBytes: number;
    /** Bytes of answers that wait for the answer to an earlier request. */
    queuedBytes: number;
    isInBody: boolean;
    openedAtMs: number;
    /** When the unfinished head began; undefined if there is none. */
    headSinceMs: number | undefined;
    /** When the latest request began. */
    requestSinceMs: number;
    /** When bytes were last passed to the parser. */
    receivedAtMs: number;
    /** When the system last took bytes of an answer, or the first of the bytes that wait were written. */
    sentAtMs: number;
    /** When the last request was answered or the connection was opened. */
    idleSinceMs: number;
}

/** Creates the state of a connection that was just accepted. */
export function openState(address: string, nowMs: number): ConnectionState {
    return {
        address,
        pendingBytes: 0,
        headBytes: 0,
        bodyBytes: 0,
        unreadBodyBytes: 0,
        requests: 0,
        wholeRequests: 0,
        requestHeadBytes: 0,
        unsentBytes: 0,
        queuedBytes: 0,
        isInBody: false,
        openedAtMs: nowMs,
        headSinceMs: undefined,
        requestSinceMs: nowMs,
        receivedAtMs: nowMs,
        sentAtMs: nowMs,
        idleSinceMs: nowMs,
    };
}
