import type {
    EmulatedAgent,
    EmulatedDeployment,
    EmulatedProcess,
} from "@tanagerdeck/standins/emulator/emulatorTypes";
import type { StoreFault } from "@tanagerdeck/standins/keyvalue/memoryStore";
import type { ChildProcess } from "@tanagerdeck/standins/processes/childProcess";
import type { ProxyStandin } from "@tanagerdeck/standins/network/proxyStandin";
import type { SoakRandom } from "./soakRandom.ts";

/** An injected fault, which lasts until it is undone. */
export interface ActiveFault {
    name: string;
    durationMs: number;
    undo(): Promise<void> | void;
}

/** Injects a fault into a deployment, or returns undefined if the fault is not possible now. */
export type FaultInjector = (
    deployment: EmulatedDeployment,
    random: SoakRandom,
) => ActiveFault | undefined | Promise<ActiveFault | undefined>;

/** Maximum duration of a fault: longer than the leases, which expire during it, and shorter than the grants. */
const MAX_FAULT_MS = 6_000;

function randomDuration(random: SoakRandom): number {
    return random.between(300, MAX_FAULT_MS);
}

function randomProcess({ entries, agents }: EmulatedDeployment, random: SoakRandom): EmulatedProcess {
    return random.chance(0.5) ? random.pick(entries) : random.pick(agents);
}

/** Time after SIGTERM at which the platform kills a process. */
const STOP_GRACE_MS = 6_000;

/** Ends a process by a signal and starts it again when the fault is undone. */
function terminateProcess(signal: "SIGKILL" | "SIGTERM"): FaultInjector {
    return (deployment, random) => {
        const target = randomProcess(deployment, random);
        // Keep the child: another fault may restart the process before this one is undone.
        const { child } = target;
        child.signal(signal);
        return {
            name: `${signal} ${target.name}`,
            durationMs: randomDuration(random),
            undo: () => restartAfterEnd(target, child),
        };
    };
}

/** Waits for the end of a process that was told to stop, kills it after the grace period and starts it again. */
export async function restartAfterEnd(target: EmulatedProcess, child: ChildProcess): Promise<void> {
    child.signal("SIGCONT");
    await Promise.race([child.ended, pause(STOP_GRACE_MS)]);
    child.signal("SIGKILL");
    await child.ended;
    await target.restart();
}

const pauseProcess: FaultInjector = (deployment, random) => {
    const target = randomProcess(deployment, random);
    target.child.signal("SIGSTOP");
    return {
        name: `SIGSTOP ${target.name}`,
        durationMs: randomDuration(random),
        undo: () => target.child.signal("SIGCONT"),
    };
};

const reloadSettings: FaultInjector = (deployment, random) => {
    const target = randomProcess(deployment, random);
    target.child.signal("SIGHUP");
    return { name: `SIGHUP ${target.name}`, durationMs: 0, undo() {} };
};

/** Kills all entries, or all entries and agents, at once, as a power loss does. */
const killManyProcesses: FaultInjector = ({ entries, agents }, random) => {
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

const disturbStore: FaultInjector = ({ store }, random) => {
    const mode = random.pick<StoreFault>(["refuse", "lose-reply", "late", "silent"]);
    store.faults.mode = mode;
    store.faults.lateMs = random.between(500, 6_000);
    store.faults.pausesLeases = random.chance(0.5);
    return {
        name: `store ${mode}${store.faults.pausesLeases ? ", leases paused" : ""}`,
        durationMs: randomDuration(random),
        undo() {
            store.faults.mode = "none";
            store.faults.pausesLeases = false;
        },
    };
};

const compactStore: FaultInjector = ({ store }) => {
    store.compact();
    return { name: "store drops its history", durationMs: 0, undo() {} };
};

/** Cuts, silences, refuses or freezes the connections through a proxy. */
async function disturbConnections(
    proxy: ProxyStandin,
    label: string,
    random: SoakRandom,
): Promise<ActiveFault> {
    const durationMs = randomDuration(random);
    const mode = random.pick(["cut", "silence", "refuse", "freeze", "one-way", "some-cut"] as const);
    const name = `${label} ${mode}`;
    switch (mode) {
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
            const share = mode === "one-way" ? 1 : 0.3;
            const fault = mode === "one-way" ? "silent-after" : "cut-after";
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

const disturbStoreLink: FaultInjector = (deployment, random) => {
    const target = randomProcess(deployment, random);
    return disturbConnections(target.storeProxy, `store link of ${target.name}`, random);
};

const disturbCallerLink: FaultInjector = ({ entries }, random) => {
    const target = random.pick(entries);
    return disturbConnections(target.callerProxy, `callers of ${target.name}`, random);
};

/** Makes a worker slow, silent, busy or hung, restarts it or drains it. */
const disturbWorker: FaultInjector = ({ agents }, random) => {
    const agent: EmulatedAgent = random.pick(agents);
    const mode = random.pick(["late", "mute", "busy", "hung", "reboot", "drain"] as const);
    const name = `worker of ${agent.name} ${mode}`;
    const durationMs = randomDuration(random);
    switch (mode) {
        case "reboot":
            agent.rebootWorker();
            return { name, durationMs: 0, undo() {} };
        case "hung":
            agent.worker.setHung(true);
            return { name, durationMs, undo: () => agent.worker.setHung(false) };
        case "drain":
            agent.server.drain(MAX_FAULT_MS);
            return { name, durationMs: MAX_FAULT_MS, undo: () => agent.rebootWorker() };
        default:
            agent.server.behaviour = mode;
            return {
                name,
                durationMs,
                undo() {
                    agent.server.behaviour = "normal";
                },
            };
    }
};

/** The faults of a soak, picked with equal probability; one that is listed twice is twice as likely. */
export const FAULT_INJECTORS: readonly FaultInjector[] = [
    terminateProcess("SIGKILL"),
    terminateProcess("SIGKILL"),
    terminateProcess("SIGTERM"),
    pauseProcess,
    reloadSettings,
    killManyProcesses,
    disturbStore,
    disturbStore,
    compactStore,
    disturbStoreLink,
    disturbCallerLink,
    disturbWorker,
    disturbWorker,
];

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
