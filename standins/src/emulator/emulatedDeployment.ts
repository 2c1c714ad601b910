import { systemClock } from "@tanagerdeck/runtime/clock/clock";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import { createMemoryStore } from "../keyvalue/memoryStore.ts";
import { startProxyStandin } from "../network/proxyStandin.ts";
import { createProcessGroup, type ProcessGroup, type Role } from "../processes/processGroup.ts";
import type {
    EmulatedAccount,
    EmulatedAgent,
    EmulatedDeployment,
    EmulatedEntry,
    EmulatedProcess,
    EmulatorOptions,
} from "./emulatorTypes.ts";
import { createGangBarrier, type GangBarrier } from "./gangBarrier.ts";
import { startStoreServer } from "./storeServer.ts";
import type { EmulatorEvent } from "./taskTypes.ts";
import { createTaskWorker, FAR_FACTOR, type TaskWorker } from "./taskWorker.ts";
import { startWorkerServer } from "./workerServer.ts";

/** Service, host and queues that the manifest of the emulated deployment defines. */
export const SERVICE = "desk";
export const HOST = "desk.example";
export const QUEUES = ["urgent", "normal", "batch"] as const;
/** Capacity of each emulated worker if the options name no other; the memory limits no task. */
export const CAPACITY = { cpuMillis: 64_000, memoryMb: 1_000_000, gpus: 8 };
export const DEFAULT_ATTEMPTS = 4;
/** Time from the acknowledgement of an evacuation until no task may start in the zone; the platform's `evac_ms`. */
export const EVACUATION_LIMIT_MS = 5_000;

const DEFAULT_ZONE = "zone-1";
const PEER_PORT = 7000;
const METRICS_PORT = 9464;
const CALLER_PORT = 8521;
const READY_PORT = 8523;
const REGISTRATION_PORT = 8526;
const WORKER_PORT = 8529;
const STORE_IP = "127.0.0.1";
const MANIFEST_KEY = "op/config";
const EVACUATION_PREFIX = "op/evacuate/";
/** Region of all zones; no rule depends on it. */
const REGION = "region-1";
const LATE_CALL_DELAY_MS = 3_000;

/** State shared by the functions that start the parts of a deployment. */
interface DeploymentContext {
    options: EmulatorOptions;
    group: ProcessGroup;
    /** First three octets of all addresses; taken from the process id, so that deployments can share a machine. */
    network: string;
    storeAddress: string;
    seeds: string[];
    gangBarrier: GangBarrier;
    report: (event: EmulatorEvent) => void;
}

/** Starts a deployment; `report` receives the events of all workers. */
export async function startEmulatedDeployment(
    options: EmulatorOptions,
    report: (event: EmulatorEvent) => void,
): Promise<EmulatedDeployment> {
    const network = `127.${1 + ((process.pid >> 8) & 0x7f)}.${process.pid & 0xff}`;
    const store = createMemoryStore(systemClock);
    const storeDelay = { ms: 0 };
    const storeServer = await startStoreServer(`${STORE_IP}:0`, store, () => storeDelay.ms);
    const context: DeploymentContext = {
        options,
        group: createProcessGroup({ programs: options.programs, nodeFlags: options.nodeFlags ?? [] }),
        network,
        storeAddress: storeServer.address,
        seeds: Array.from(
            { length: Math.min(3, options.entries) },
            (_, index) => `${network}.${10 + index}:1`,
        ),
        gangBarrier: createGangBarrier(),
        report,
    };
    const accounts: EmulatedAccount[] = [
        { name: "okahandja", keys: ["key-okahandja"], guaranteedGpus: 16 },
        { name: "caroni", keys: ["key-caroni"], guaranteedGpus: 8 },
    ];
    let version = 0;
    const writeManifest = (): number => {
        version += 1;
        store.write(MANIFEST_KEY, manifestText(version, accounts, options));
        return version;
    };
    writeManifest();
    const entries: EmulatedEntry[] = [];
    for (let index = 0; index < options.entries; index++) {
        entries.push(await startEntry(context, index));
    }
    const agents: EmulatedAgent[] = [];
    for (let index = 0; index < options.workers; index++) {
        agents.push(await startAgent(context, index));
    }
    const reportZone = (kind: "evacuated" | "restored", zone: string): void => {
        const workers = agents.filter(agent => agent.availabilityZone === zone).map(({ name }) => name);
        report({ kind, zone, workers, atMs: systemClock.now() });
    };
    return {
        store,
        storeDelay,
        entries,
        agents,
        accounts,
        writeManifest,
        zones: workerZones(options),
        evacuate(zone) {
            store.write(`${EVACUATION_PREFIX}${zone}`, "{}");
            reportZone("evacuated", zone);
        },
        restore(zone) {
            if (store.item(`${EVACUATION_PREFIX}${zone}`)) {
                store.remove(`${EVACUATION_PREFIX}${zone}`);
                reportZone("restored", zone);
            }
        },
        output: () => [...entries, ...agents].map(process => process.output()).join(""),
        stop: () => stopAll(context, entries, agents, storeServer),
    };
}

async function startEntry(context: DeploymentContext, index: number): Promise<EmulatedEntry> {
    const ip = `${context.network}.${10 + index}`;
    const callerAddress = `${ip}:${CALLER_PORT}`;
    const readyAddress = `${ip}:${READY_PORT}`;
    const zone = context.options.zoneSizes ? zoneName(index) : DEFAULT_ZONE;
    const { followsEvacuations } = context.options;
    const zones = Object.fromEntries(workerZones(context.options).map(name => [name, REGION]));
    const settings = {
        farFactor: FAR_FACTOR,
        callerAddress,
        readyAddress,
        availabilityZone: zone,
        ...(followsEvacuations ? { zones } : {}),
    };
    const process = await startProcess(context, "platform-entry", `entry-${index + 1}`, ip, settings);
    const callerProxy = await startProxyStandin(callerAddress);
    return Object.assign(process, { callerAddress, callerProxy, readyAddress });
}

async function startAgent(context: DeploymentContext, index: number): Promise<EmulatedAgent> {
    const { options, gangBarrier, report, network } = context;
    const ip = `${network}.${100 + index}`;
    const name = `agent-${index + 1}`;
    const registrationAddress = `${ip}:${REGISTRATION_PORT}`;
    const workerAddress = `${ip}:${WORKER_PORT}`;
    const { availabilityZone, rack } = locationOf(index, options);
    const kind = inTurn(options.kinds ?? ["a"], index);
    const capacity = options.capacity ?? CAPACITY;
    let bootCount = 0;
    const lateExecution = { isExecuting: false };
    const createWorker = (): TaskWorker =>
        createTaskWorker({
            name,
            // The platform allows a rebooted worker to keep its id, so every second boot reuses the previous one's.
            id: `i-${index + 1}-${Math.floor(bootCount / 2)}`,
            bornMs: Date.now() + bootCount++,
            rack,
            capacity,
            durationFactor: inTurn(options.durationFactors ?? [1], index),
            longestHoldMs: options.longestHoldMs,
            stopDurationMs: options.stopDurationMs,
            gangTimeoutMs: options.gangTimeoutMs,
            clock: systemClock,
            gangBarrier,
            report: event => report(lateExecution.isExecuting ? { ...event, isLate: true } : event),
        });
    let worker = createWorker();
    const server = await startWorkerServer({
        worker,
        address: workerAddress,
        service: SERVICE,
        availabilityZone,
        rack,
        kind,
        capacity,
        registrationAddress,
        heartbeatIntervalMs: options.heartbeatIntervalMs,
        clock: systemClock,
        lateDelayMs: () => LATE_CALL_DELAY_MS,
        lateExecution,
        onDrainAcknowledged: () => report({ kind: "draining", worker: name, atMs: systemClock.now() }),
    });
    const zone = options.zoneSizes ? availabilityZone : DEFAULT_ZONE;
    const settings = { registrationAddress, workerAddress, availabilityZone: zone };
    const process = await startProcess(context, "platform-agent", name, ip, settings);
    const agent: EmulatedAgent = Object.assign(process, {
        worker,
        server,
        availabilityZone,
        labels: [kind, rack],
        rebootWorker() {
            worker.crash();
            worker = createWorker();
            agent.worker = worker;
            report({ kind: "replaced", worker: name, atMs: systemClock.now() });
            server.replace(worker);
        },
    });
    return agent;
}

function inTurn<T>(values: T[], index: number): T {
    return values[index % values.length]!;
}

function zoneName(index: number): string {
    return `zone-${index + 1}`;
}

/** Availability zones of the workers, in order of first use. */
function workerZones(options: EmulatorOptions): string[] {
    const zones = Array.from(
        { length: options.workers },
        (_, index) => locationOf(index, options).availabilityZone,
    );
    return [...new Set(zones)];
}

/** Availability zone and rack of a worker; a rack lies in one zone if `zoneSizes` is set. */
function locationOf(
    index: number,
    { zoneSizes, entries, workersPerRack }: EmulatorOptions,
): { availabilityZone: string; rack: string } {
    if (!zoneSizes) {
        const rack = `r-${Math.floor(index / workersPerRack) + 1}`;
        return { availabilityZone: zoneName(index % entries), rack };
    }
    let position = index;
    let zone = 0;
    while (position >= (zoneSizes[zone] ?? Infinity)) {
        position -= zoneSizes[zone]!;
        zone += 1;
    }
    return {
        availabilityZone: zoneName(zone),
        rack: `r${zone + 1}-${Math.floor(position / workersPerRack) + 1}`,
    };
}

async function startProcess(
    { group, options, storeAddress, seeds }: DeploymentContext,
    role: Role,
    name: string,
    ip: string,
    settings: object,
): Promise<EmulatedProcess> {
    const storeProxy = await startProxyStandin(storeAddress);
    const fullSettings = {
        name,
        ip,
        peerPort: PEER_PORT,
        metricsPort: METRICS_PORT,
        seeds,
        storeAddress: storeProxy.address,
        longestHoldMs: options.longestHoldMs,
        keepJobsSeconds: 120,
        graceSeconds: 6,
        ...(options.followsEvacuations ? { evacuationLimitMs: EVACUATION_LIMIT_MS } : {}),
        ...settings,
        ...options.settings,
    };
    let restarting: Promise<void> | undefined;
    let earlierOutput = "";
    async function start(): Promise<void> {
        earlierOutput += process.child.output();
        try {
            process.child = await group.start("tanagerdeck", fullSettings, role);
        } finally {
            restarting = undefined;
        }
    }
    const process: EmulatedProcess = {
        name,
        storeProxy,
        child: await group.start("tanagerdeck", fullSettings, role),
        async restart() {
            if (!process.child.running()) {
                restarting ??= start();
            }
            await restarting;
        },
        output: () => earlierOutput + process.child.output(),
    };
    return process;
}

function manifestText(version: number, accounts: EmulatedAccount[], { attempts }: EmulatorOptions): string {
    return JSON.stringify({
        version,
        routes: QUEUES.map((name, priority) => ({
            name,
            host: HOST,
            prefix: `/${name}/`,
            kind: "unsafe",
            timeout_ms: 3_000,
            slo_ms: 1_000,
            priority,
            service: SERVICE,
            attempts: attempts?.[priority] ?? DEFAULT_ATTEMPTS,
            stretch: 3,
            public: false,
        })),
        services: [{ name: SERVICE, enforces_capacity: false }],
        limits: { max_body_bytes: 262_144 },
        tenants: accounts.map(({ name, keys, guaranteedGpus }) => ({
            name,
            api_keys: keys,
            guaranteed: { gpu: guaranteedGpus },
        })),
    });
}

async function stopAll(
    { group }: DeploymentContext,
    entries: EmulatedEntry[],
    agents: EmulatedAgent[],
    storeServer: Listener,
): Promise<void> {
    await group.stopAll();
    for (const agent of agents) {
        agent.worker.crash();
        await agent.server.close();
        await agent.storeProxy.close();
    }
    for (const entry of entries) {
        await entry.callerProxy.close();
        await entry.storeProxy.close();
    }
    await storeServer.close();
}
