const ANY_PORT = "127.0.0.1:0";

/** Settings that all processes of a test environment share. */
export interface EnvironmentSettings {
    environment: string;
    region: string;
    peerToken: string;
    operatorToken: string;
    logLevel: "debug" | "info" | "warn" | "error";
    traceSampleRatio?: number;
    traceFile?: string;
}

/** The backend server that an agent of a test environment manages. */
export type ServerSettings =
    | { kind: "runner"; address: string; slots: number; connections: number }
    | { kind: "worker"; address: string; rack: string; slot: number; accelerators: number };

/** Settings of an entry that listens on free ports. */
export function entrySettings(
    environment: EnvironmentSettings,
    entry: { name: string; availabilityZone: string; platformAddress: string; lingerMs?: number },
) {
    return {
        ...environment,
        ...entry,
        callerAddress: ANY_PORT,
        operatorAddress: ANY_PORT,
        peerAddress: ANY_PORT,
        metricsAddress: ANY_PORT,
    };
}

/** Settings of an agent that listens on free ports. */
export function agentSettings(
    { operatorToken: _operatorToken, ...environment }: EnvironmentSettings,
    agent: { name: string; availabilityZone: string; seeds: string[]; server: ServerSettings },
) {
    return { ...environment, ...agent, peerAddress: ANY_PORT, metricsAddress: ANY_PORT };
}
