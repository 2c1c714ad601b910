import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import { createMemoryStore, type MemoryStore } from "../keyvalue/memoryStore.ts";
import { startProxyStandin, type ProxyStandin } from "../network/proxyStandin.ts";
import type { ChildProcess } from "../processes/childProcess.ts";
import { createProcessGroup } from "../processes/processGroup.ts";
import { startStoreServer } from "./storeServer.ts";

/** One entry process with the store behind a proxy, and no workers. */
export interface EntryFixture {
    entry: ChildProcess;
    callerAddress: string;
    store: MemoryStore;
    storeProxy: ProxyStandin;
    stop(): Promise<void>;
}

/** Host, queue and API key that the fixture's manifest defines. */
export const FIXTURE = { host: "desk.example", queue: "urgent", key: "key-okahandja" } as const;
/** Manifest of the fixture; `changes` replace fields of its queue. */
export function fixtureManifest(version: number, changes: object = {}): string {
    const queue = { name: FIXTURE.queue, host: FIXTURE.host, prefix: `/${FIXTURE.queue}/`, kind: "unsafe" };
    const terms = { timeout_ms: 3_000, slo_ms: 1_000, priority: 0, attempts: 4, stretch: 3, public: false };
    return JSON.stringify({
        version,
        routes: [{ ...queue, ...terms, service: "desk", ...changes }],
        services: [{ name: "desk", enforces_capacity: false }],
        limits: { max_body_bytes: 262_144 },
        tenants: [{ name: "okahandja", api_keys: [FIXTURE.key], guaranteed: { gpu: 16 } }],
    });
}

/** Port on which entries expect each other. */
const PEER_PORT = 7_000;
/** First three octets of the fixture's addresses; taken from the process id, so that fixtures can share a machine. */
const NETWORK = `127.${129 + ((process.pid >> 8) & 0x3f)}.${process.pid & 0xff}`;
/** Peer address of another entry, which the fixture's entry knows as its seed. Nothing listens there. */
export const OTHER_ENTRY = `${NETWORK}.11:${PEER_PORT}`;

/** Starts the fixture; `programs` is the folder of the bundles, `changes` adds to or replaces the entry's settings. */
export async function startEntryFixture(
    programs: string,
    nodeFlags: string[] = [],
    changes: object = {},
): Promise<EntryFixture> {
    const ip = `${NETWORK}.10`;
    const store = createMemoryStore(systemClock);
    store.write("op/config", fixtureManifest(1));
    const storeServer = await startStoreServer("127.0.0.1:0", store);
    const storeProxy = await startProxyStandin(storeServer.address);
    const group = createProcessGroup({ programs, nodeFlags });
    const callerAddress = `${ip}:8521`;
    const settings = {
        name: "entry-1",
        availabilityZone: "zone-1",
        ip,
        peerPort: PEER_PORT,
        metricsPort: 9464,
        seeds: [OTHER_ENTRY],
        storeAddress: storeProxy.address,
        longestHoldMs: 6_000,
        keepJobsSeconds: 120,
        graceSeconds: 6,
        farFactor: 3,
        callerAddress,
        readyAddress: `${ip}:8523`,
        ...changes,
    };
    async function stop(): Promise<void> {
        await group.stopAll();
        await storeProxy.close();
        await storeServer.close();
    }
    try {
        const entry = await group.start("tanagerdeck", settings, "platform-entry");
        return { entry, callerAddress, store, storeProxy, stop };
    } catch (error) {
        await stop();
        throw error;
    }
}

/** Text of a request to the fixture's queue. */
export function requestText(
    method: "GET" | "POST" | "DELETE",
    id: string,
    { body = "", key = FIXTURE.key as string, queue = FIXTURE.queue as string } = {},
): string {
    const lines = [
        `${method} /${queue}/${id} HTTP/1.1`,
        `host: ${FIXTURE.host}`,
        `authorization: Bearer ${key}`,
        "x-deadline: 3000",
        ...(method === "POST" ? ["content-type: application/json", `content-length: ${body.length}`] : []),
    ];
    return `${lines.join("\r\n")}\r\n\r\n${body}`;
}

/** Body of a job with one small task. */
export const JOB_BODY = JSON.stringify({
    spec: "{}",
    steps: [{ count: 1, cpu: 1_000, gpu: 1, estimate_ms: 300 }],
});
