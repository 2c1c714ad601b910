/** Handle of a running process of the system, such as an entry or an agent. */
export interface RunningProcess {
    /** The `ip:port` that each listener is bound to, by the listener's key in the settings. */
    addresses: Record<string, string>;
    /** Reads the settings again; present only if the process can apply changed settings while it runs. */
    reload?(): void;
    /** Stops gracefully: finishes running work, then closes all sockets. */
    stop(): Promise<void>;
}
