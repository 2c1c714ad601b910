import type {
    EmulatedAgent,
    EmulatedDeployment,
    EmulatedProcess,
} from "@tanagerdeck/standins/emulator/emulatorTypes";
import type { StoreFault } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { ProxyStandin } from "@tanagerdeck/standins/network/proxyStandin";
import type { SoakRandom } from "./soakRandom.ts";

/** A fault that lasts until it is undone. */
export interface ActiveFault {
    name: string;
    durationMs: number;
    undo(): Promise<void> | void;
}

/** Begins a fault on a deployment; undefined if it does not fit now. */
export type FaultMaker = (
    deployment: EmulatedDeployment,
    random: SoakRandom,
) => ActiveFault | undefined | Promise<ActiveFault | undefined>;

/** Longest time for which a fault lasts; the leases and grants of the system are shorter and longer than this. */
const LONGEST_MS = 6_000;

function duration(random: SoakRandom): number {
    return random.between(300, LONGEST_MS);
}

function anyProcess({ entries, agents }: EmulatedDeployment, random: SoakRandom): EmulatedProcess {
    return random.chance(0.5) ? random.pick(entries) : random.pick(agents);
}

/** Time after SIGTERM at which the platform ends a process. */
const GRACE_MS = 6_000;

/** Ends a process by a signal; it is started again when the fault is undone. */
function endProcess(signal: "SIGKILL" | "SIGTERM"): FaultMaker {
    return (deployment, random) => {
        const target = anyProcess(deployment, random);
        // Another fault may have started the process again when this one is undone.
        const { child } = target;
        child.signal(signal);
        return {
            name: `${signal} ${target.name}`,
            durationMs: duration(random),
            async undo() {
                child.signal("SIGCONT");
                await Promise.race([child.ended, pause(GRACE_MS)]);
                child.signal("SIGKILL");
                await child.ended;
                await target.restart();
            },
        };
    };
}

const pauseProcess: FaultMaker = (deployment, random) => {
    const target = anyProcess(deployment, random);
    target.child.signal("SIGSTOP");
    return {
        name: `SIGSTOP ${target.name}`,
        durationMs: duration(random),
        undo: () => target.child.signal("SIGCONT"),
    };
};

const reloadSettings: FaultMaker = (deployment, random) => {
    const target = anyProcess(deployment, random);
    target.child.signal("SIGHUP");
    return { name: `SIGHUP ${target.name}`, durationMs: 0, undo() {} };
};

/** All processes of a kind lose power at once. */
const killMany: FaultMaker = ({ entries, agents }, random) => {
    const targets: EmulatedProcess[] = random.chance(0.5) ? entries : [...entries, ...agents];
    const children = targets.map(target => target.child);
    for (const child of children) {
        child.signal("SIGKILL");
    }
    return {
        name: `SIGKILL ${targets.length} processes`,
        durationMs: random.between(300, 3_000),
        async undo() {
            await Promise.all(children.map(child => child.ended));
            await Promise.all(targets.map(target => target.restart()));
        },
    };
};

const storeFault: FaultMaker = ({ store }, random) => {
    const mode = random.pick<StoreFault>(["refuse", "lose-reply", "late", "silent"]);
    store.faults.mode = mode;
    store.faults.lateMs = random.between(500, 6_000);
    store.faults.pausesLeases = random.chance(0.5);
    return {
        name: `store ${mode}${store.faults.pausesLeases ? ", leases paused" : ""}`,
        durationMs: duration(random),
        undo() {
            store.faults.mode = "none";
            store.faults.pausesLeases = false;
        },
    };
};

const compactStore: FaultMaker = ({ store }) => {
    store.compact();
    return { name: "store drops its history", durationMs: 0, undo() {} };
};

/** Disturbs the connections that pass a proxy. */
async function disturb(proxy: ProxyStandin, label: string, random: SoakRandom): Promise<ActiveFault> {
    const durationMs = duration(random);
    const how = random.pick(["cut", "silence", "refuse", "freeze", "one-way", "some-cut"] as const);
    const name = `${label} ${how}`;
    switch (how) {
        case "cut":
            proxy.cut();
            return { name, durationMs: 0, undo() {} };
        case "silence":
            proxy.silence();
            return { name, durationMs: 0, undo() {} };
        case "refuse":
            await proxy.refuse();
            return { name, durationMs, undo: () => proxy.accept() };
        case "freeze":
            proxy.freeze();
            return { name, durationMs, undo: () => proxy.resume() };
        case "one-way":
        case "some-cut": {
            const share = how === "one-way" ? 1 : 0.3;
            const fault = how === "one-way" ? "silent-after" : "cut-after";
            proxy.faultFor = () => (random.chance(share) ? fault : "none");
            return {
                name,
                durationMs,
                undo() {
                    proxy.faultFor = () => "none";
                },
            };
        }
    }
}

const disturbStoreLink: FaultMaker = (deployment, random) => {
    const target = anyProcess(deployment, random);
    return disturb(target.storeProxy, `store link of ${target.name}`, random);
};

const disturbCallers: FaultMaker = ({ entries }, random) => {
    const target = random.pick(entries);
    return disturb(target.callerProxy, `callers of ${target.name}`, random);
};

/** Changes how a worker answers, or what it does. */
const workerFault: FaultMaker = ({ agents }, random) => {
    const agent: EmulatedAgent = random.pick(agents);
    const how = random.pick(["late", "mute", "busy", "hung", "reboot", "drain"] as const);
    const name = `worker of ${agent.name} ${how}`;
    const durationMs = duration(random);
    switch (how) {
        case "reboot":
            agent.rebootWorker();
            return { name, durationMs: 0, undo() {} };
        case "hung":
            agent.worker.setHung(true);
            return { name, durationMs, undo: () => agent.worker.setHung(false) };
        case "drain":
            agent.server.drain(LONGEST_MS);
            return { name, durationMs: LONGEST_MS, undo: () => agent.rebootWorker() };
        default:
            agent.server.behaviour = how;
            return {
                name,
                durationMs,
                undo() {
                    agent.server.behaviour = "normal";
                },
            };
    }
};

/** The faults of a soak; one that stands twice is twice as likely. */
export const FAULT_MAKERS: readonly FaultMaker[] = [
    endProcess("SIGKILL"),
    endProcess("SIGKILL"),
    endProcess("SIGTERM"),
    pauseProcess,
    reloadSettings,
    killMany,
    storeFault,
    storeFault,
    compactStore,
    disturbStoreLink,
    disturbCallers,
    workerFault,
    workerFault,
];

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
