/** A running process of one role. */
export interface RunningProcess {
    /** Bound `ip:port` of each listener, by its settings key. */
    addresses: Record<string, string>;
    /** Reads the settings again, if the process can take changed ones while it runs. */
    reload?(): void;
    /** Graceful stop: finishes what runs, then releases all sockets. */
    stop(): Promise<void>;
}
