import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";
import { congruential32 } from "pure-rand/generator/congruential32";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { computeBindings } from "@tanagerdeck/decisions/binding/bindingSearch";
import type { ConfigurationDocument, Shape } from "@tanagerdeck/decisions/document/documentTypes";
import type { AcceleratorState } from "@tanagerdeck/decisions/fleet/reportTypes";
import { choosePlacement } from "@tanagerdeck/decisions/placement/choosePlacement";
import { indexPlacement, type PlacementIndex } from "@tanagerdeck/decisions/placement/placementIndex";
import type { WorkerView } from "@tanagerdeck/decisions/placement/placementTypes";

/** Points of one measure for a linear fit; `sizeLabel` says what the first coordinate counts. */
export interface DecisionSlope {
    name: string;
    unit: string;
    sizeLabel: string;
    points: [number, number][];
}

/** The fleet view and the placement index that a placement reads. */
interface PlacementState {
    workers: WorkerView[];
    index: PlacementIndex;
}

const WORKER_COUNTS = [1_000, 2_750, 5_500, 11_000];
const GANG_SIZES = [8, 64, 256, 512];
const ACCOUNT_COUNT = 200;
/** A rack has 32 workers with 256 accelerators, so that a gang of 512 fits into two neighbouring racks. */
const WORKERS_PER_RACK = 32;
const ACCELERATORS_PER_WORKER = 8;
const AVAILABILITY_ZONE_COUNT = 7;
/** In each run of this many racks, the first two are free and the others are in use. */
const RACKS_PER_FREE_PAIR = 10;
const REPEAT_COUNT = 9;
const SEED = 20261204;

/** Measures the median time of a placement and the heap of the state that it reads, by fleet and gang size. */
export function decisionSlope(): DecisionSlope[] {
    const heapPoints: [number, number][] = [];
    const pointsByGangSize = new Map<number, [number, number][]>(GANG_SIZES.map(gang => [gang, []]));
    for (const workers of WORKER_COUNTS) {
        const before = heapInUse();
        const state = buildState(workers);
        heapPoints.push([workers, heapInUse() - before]);
        for (const gang of GANG_SIZES) {
            pointsByGangSize.get(gang)!.push([workers, medianPlacementMs(state, gang)]);
        }
    }
    const largest = WORKER_COUNTS.at(-1)!;
    const pointsOnLargestFleet = GANG_SIZES.map((gang): [number, number] => [
        gang,
        pointsByGangSize.get(gang)!.find(([workers]) => workers === largest)![1],
    ]);
    return [
        ...GANG_SIZES.map(gang => ({
            name: `placement of a gang of ${gang}`,
            unit: "ms",
            sizeLabel: "workers",
            points: pointsByGangSize.get(gang)!,
        })),
        {
            name: `placement on ${largest} workers`,
            unit: "ms",
            sizeLabel: "accelerators of the gang",
            points: pointsOnLargestFleet,
        },
        {
            name: "heap of fleet view and placement index",
            unit: "bytes",
            sizeLabel: "workers",
            points: heapPoints,
        },
    ];
}

function buildState(count: number): PlacementState {
    const document = buildDocument(count);
    const bindings = computeBindings(document).unsafeCoerce();
    const random = congruential32(SEED);
    const workers: WorkerView[] = [];
    for (const [rack, { name, availabilityZone, workers: slots }] of document.racks.entries()) {
        const isFree = rack % RACKS_PER_FREE_PAIR < 2;
        for (let slot = 0; slot < slots; slot++) {
            const accelerators = Array.from({ length: ACCELERATORS_PER_WORKER }, (): AcceleratorState => {
                const clientAccount = `account-${uniformInt(random, 0, ACCOUNT_COUNT - 1)}`;
                return isFree ? { kind: "free" } : { kind: "used", clientAccount, reclaimable: true };
            });
            const agent = `${name}-${slot}`;
            workers.push({
                agent,
                address: "",
                availabilityZone,
                rack: name,
                slot,
                accelerators,
                usable: true,
            });
        }
    }
    return { workers, index: indexPlacement({ document, bindings }) };
}

function buildDocument(count: number): ConfigurationDocument {
    const guarantees: Shape[] = [{ span: "worker", accelerators: ACCELERATORS_PER_WORKER }];
    return {
        clientAccounts: Array.from({ length: ACCOUNT_COUNT }, (_, account) => ({
            name: `account-${account}`,
            tokenDigests: [],
            guarantees,
            quota: { accelerators: count * ACCELERATORS_PER_WORKER, requestsPerSecond: 1, waiting: 1 },
            weight: 1,
        })),
        kinds: [],
        racks: Array.from({ length: Math.ceil(count / WORKERS_PER_RACK) }, (_, rack) => ({
            name: `rack-${rack}`,
            availabilityZone: `zone-${Math.floor((rack * WORKERS_PER_RACK * AVAILABILITY_ZONE_COUNT) / count)}`,
            workers: Math.min(WORKERS_PER_RACK, count - rack * WORKERS_PER_RACK),
            acceleratorsPerWorker: ACCELERATORS_PER_WORKER,
        })),
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "serve",
    };
}

function medianPlacementMs({ workers, index }: PlacementState, accelerators: number): number {
    const times: number[] = [];
    for (let repeat = 0; repeat < REPEAT_COUNT; repeat++) {
        const clientAccount = `account-${repeat}`;
        const start = performance.now();
        choosePlacement(
            { clientAccount, shape: { span: "neighbouring-racks", accelerators } },
            workers,
            index,
        );
        times.push(performance.now() - start);
    }
    return times.sort((left, right) => left - right)[Math.floor(REPEAT_COUNT / 2)]!;
}

function heapInUse(): number {
    setFlagsFromString("--expose-gc");
    const collect = runInNewContext("gc") as () => void;
    collect();
    return process.memoryUsage().heapUsed;
}
