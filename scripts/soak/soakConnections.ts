import { MANIFEST_KEY } from "@tanagerdeck/platform/manifest/manifestCodec";
import { startEmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatedDeployment";
import type { EmulatedDeployment, EmulatedEntry } from "@tanagerdeck/standins/emulator/emulatorTypes";
import { createCallerLoops, type CallerCounts } from "./connectionCallers.ts";
import { createSoakRandom, type SoakRandom } from "./soakRandom.ts";

/** Options of a soak of planned work: stops, reloads and manifests in series, and no other fault. */
export interface ConnectionSoakOptions {
    seed: number;
    programs: string;
    seconds: number;
    entries: number;
    workers: number;
    /** Called with a description of each event. */
    progress?: (line: string) => void;
}

/** Counts of a soak of planned work; `lost` holds the requests that ended without a complete answer. */
export interface ConnectionSoakResult extends CallerCounts {
    seed: number;
    stops: number;
    /** Stops that the platform had to end by SIGKILL. */
    killed: number;
    reloads: number;
    manifests: number;
    events: string[];
    output: string;
}

/** Time after SIGTERM at which the platform kills a process. */
const STOP_GRACE_MS = 6_000;
/** Time within which repeated signals arrive, counted from the first: the stop of an entry takes at least as long. */
const REPEAT_WINDOW_MS = 2_400;
/** Time that the store takes for a transaction; up to 400 ms when it is slow, so that stops meet calls in flight. */
const COMMIT_DELAYS_MS = [0, 250, 400] as const;

interface PlannedWork {
    deployment: EmulatedDeployment;
    random: SoakRandom;
    result: ConnectionSoakResult;
    isEnding: () => boolean;
    note: (line: string) => void;
}

/** Runs one seed: callers keep connections to each entry while signals and manifests come in series and overlap. */
export async function runConnectionSoak(options: ConnectionSoakOptions): Promise<ConnectionSoakResult> {
    const deployment = await startEmulatedDeployment(
        {
            programs: options.programs,
            entries: options.entries,
            workers: options.workers,
            workersPerRack: 3,
            longestHoldMs: 6_000,
            stopDurationMs: 200,
            gangTimeoutMs: 3_000,
            heartbeatIntervalMs: 500,
        },
        () => undefined,
    );
    const random = createSoakRandom(options.seed);
    const startedAt = performance.now();
    let isEnding = false;
    const callers = createCallerLoops({ deployment, seed: options.seed, isEnding: () => isEnding });
    const result: ConnectionSoakResult = {
        ...callers.counts,
        seed: options.seed,
        stops: 0,
        killed: 0,
        reloads: 0,
        manifests: 0,
        events: [],
        output: "",
    };
    const work: PlannedWork = {
        deployment,
        random,
        result,
        isEnding: () => isEnding,
        note(line) {
            const text = `${((performance.now() - startedAt) / 1_000).toFixed(2)} ${line}`;
            result.events.push(text);
            options.progress?.(text);
        },
    };
    await pause(2_000);
    deployment.store.faults.commitDelayMs = random.pick(COMMIT_DELAYS_MS);
    work.note(`commits take ${deployment.store.faults.commitDelayMs} ms`);
    const loops = [
        ...deployment.entries.map(entry => signalLoop(work, entry)),
        manifestLoop(work),
        ...callers.start(),
    ];
    await pause(options.seconds * 1_000);
    isEnding = true;
    await Promise.all(loops);
    Object.assign(result, callers.counts, { output: deployment.output() });
    await deployment.stop();
    return result;
}

/** Stops, restarts and reloads one entry again and again. */
async function signalLoop(work: PlannedWork, entry: EmulatedEntry): Promise<void> {
    const { random, result, note } = work;
    while (!work.isEnding()) {
        await pause(random.between(200, 2_500));
        if (random.chance(0.4)) {
            result.reloads += 1;
            note(`SIGHUP ${entry.name}`);
            entry.child.signal("SIGHUP");
            continue;
        }
        await stopAndRestart(work, entry);
    }
}

async function stopAndRestart({ random, result, note }: PlannedWork, entry: EmulatedEntry): Promise<void> {
    const { child } = entry;
    result.stops += 1;
    note(`SIGTERM ${entry.name}`);
    child.signal("SIGTERM");
    const repeats = random.chance(0.5) ? random.between(1, 3) : 0;
    for (let repeat = 0; repeat < repeats; repeat++) {
        const signal = random.pick(["SIGTERM", "SIGTERM", "SIGINT", "SIGHUP"] as const);
        const delayMs = random.between(1, REPEAT_WINDOW_MS);
        void pause(delayMs).then(() => {
            note(`${signal} ${entry.name} again`);
            child.signal(signal);
        });
    }
    const hasEnded = await Promise.race([child.ended.then(() => true), pause(STOP_GRACE_MS)]);
    if (hasEnded !== true) {
        result.killed += 1;
        note(`SIGKILL ${entry.name}`);
        child.signal("SIGKILL");
        await child.ended;
    }
    await pause(random.between(0, 1_000));
    await entry.restart();
}

/** Writes manifests in quick succession, which add and remove a queue and a key that callers use. */
async function manifestLoop({ deployment, random, result, note, isEnding }: PlannedWork): Promise<void> {
    const { store } = deployment;
    const base = JSON.parse(store.item(MANIFEST_KEY)!.value) as {
        version: number;
        routes: { name: string; timeout_ms: number }[];
        tenants: { api_keys: string[] }[];
    };
    for (let { version } = base; !isEnding();) {
        const count = random.between(1, 4);
        for (let index = 0; index < count; index++) {
            version += random.between(1, 3);
            const hasAllQueues = random.chance(0.5);
            const hasAllKeys = random.chance(0.5);
            const manifest = {
                ...base,
                version,
                routes: hasAllQueues ? base.routes : base.routes.slice(0, -1),
                tenants: base.tenants.map((tenant, position) =>
                    position === 0 || hasAllKeys ? tenant : { ...tenant, api_keys: [`key-${version}`] },
                ),
            };
            store.write(MANIFEST_KEY, JSON.stringify(manifest));
            result.manifests += 1;
            await pause(random.between(0, 200));
        }
        note(`${count} manifests`);
        await pause(random.between(200, 3_000));
    }
}

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
