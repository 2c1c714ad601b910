/** A running process of one role. */
export interface RunningProcess {
    /** Bound `ip:port` of each listener, by its settings key. */
    addresses: Record<string, string>;
    /** Graceful stop: finishes what runs, then releases all sockets. */
    stop(): Promise<void>;
}
