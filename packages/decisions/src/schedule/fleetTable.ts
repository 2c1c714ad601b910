import { addResources, type Resources } from "../job/jobTypes.ts";
import type { WorkerView } from "./scheduleTypes.ts";

/** Amounts of each resource in columns, by the position of a worker. */
export interface ResourceColumns {
    cpuMillis: Float64Array;
    memoryMb: Float64Array;
    gpus: Float64Array;
}

/**
 * The workers of a scheduling round, addressed by position. A round compares a group with hundreds of workers many
 * times, so the searches read numbers from columns instead of objects by name.
 */
export interface FleetTable {
    workers: WorkerView[];
    positions: ReadonlyMap<string, number>;
    /** Number of each worker's rack; a worker without a rack counts as a rack of its own. */
    racks: Int32Array;
    rackCount: number;
    capacity: ResourceColumns;
    /** Capacity that no open placement and no decision of the round occupies. */
    free: ResourceColumns;
    /** Free capacity once all closing runs, including those that the round preempts, have ended. */
    freeAfterClosing: ResourceColumns;
    /** Positions of the schedulable workers by service and filter. */
    schedulable: Map<string, number[]>;
}

/** Builds the table of a round's workers. */
export function createFleetTable(workers: WorkerView[]): FleetTable {
    const positions = new Map<string, number>();
    const rackNumbers = new Map<string, number>();
    const racks = new Int32Array(workers.length);
    for (const [position, { name, rack = name }] of workers.entries()) {
        positions.set(name, position);
        const number = rackNumbers.get(rack) ?? rackNumbers.size;
        rackNumbers.set(rack, number);
        racks[position] = number;
    }
    return {
        workers,
        positions,
        racks,
        rackCount: rackNumbers.size,
        capacity: columnsOf(workers.map(({ capacity }) => capacity)),
        free: columnsOf(workers.map(({ free }) => free)),
        freeAfterClosing: columnsOf(workers.map(({ free, closing }) => addResources(free, closing))),
        schedulable: new Map(),
    };
}

/** Which workers of a service a group may use. */
export interface WorkerFilter {
    requiredLabel?: string | undefined;
    includesQuarantined: boolean;
}

/** Positions of the schedulable workers of a service that pass the filter. */
export function schedulableWorkers(
    fleet: FleetTable,
    service: string,
    { requiredLabel, includesQuarantined }: WorkerFilter,
): number[] {
    const key = JSON.stringify([service, requiredLabel, includesQuarantined]);
    const known = fleet.schedulable.get(key);
    if (known) {
        return known;
    }
    const positions: number[] = [];
    for (const [position, worker] of fleet.workers.entries()) {
        const hasLabel = requiredLabel === undefined || worker.labels.includes(requiredLabel);
        const isUsable = worker.isSchedulable && (includesQuarantined || !worker.isQuarantined);
        if (isUsable && worker.service === service && hasLabel) {
            positions.push(position);
        }
    }
    fleet.schedulable.set(key, positions);
    return positions;
}

/** Positions of the named workers; names that are not in the table are left out. */
export function positionsOf({ positions }: FleetTable, names: string[]): number[] {
    const found: number[] = [];
    for (const name of names) {
        const position = positions.get(name);
        if (position !== undefined) {
            found.push(position);
        }
    }
    return found;
}

function columnsOf(amounts: Resources[]): ResourceColumns {
    return {
        cpuMillis: Float64Array.from(amounts, ({ cpuMillis }) => cpuMillis),
        memoryMb: Float64Array.from(amounts, ({ memoryMb }) => memoryMb),
        gpus: Float64Array.from(amounts, ({ gpus }) => gpus),
    };
}

/** A copy that can be changed independently. */
export function copyColumns({ cpuMillis, memoryMb, gpus }: ResourceColumns): ResourceColumns {
    return { cpuMillis: cpuMillis.slice(), memoryMb: memoryMb.slice(), gpus: gpus.slice() };
}

/** The amounts at one position. */
export function resourcesAt(columns: ResourceColumns, position: number): Resources {
    return {
        cpuMillis: columns.cpuMillis[position]!,
        memoryMb: columns.memoryMb[position]!,
        gpus: columns.gpus[position]!,
    };
}

/** Replaces the amounts at one position. */
export function setResources(columns: ResourceColumns, position: number, amount: Resources): void {
    columns.cpuMillis[position] = amount.cpuMillis;
    columns.memoryMb[position] = amount.memoryMb;
    columns.gpus[position] = amount.gpus;
}

/** Adds an amount at one position. */
export function addAt(columns: ResourceColumns, position: number, amount: Resources): void {
    columns.cpuMillis[position]! += amount.cpuMillis;
    columns.memoryMb[position]! += amount.memoryMb;
    columns.gpus[position]! += amount.gpus;
}

/** Subtracts an amount at one position; a component may become negative. */
export function subtractAt(columns: ResourceColumns, position: number, amount: Resources): void {
    columns.cpuMillis[position]! -= amount.cpuMillis;
    columns.memoryMb[position]! -= amount.memoryMb;
    columns.gpus[position]! -= amount.gpus;
}

/** Number of times that `needed` fits at one position, at most `limit` and at least 0. */
export function countFittingAt(
    columns: ResourceColumns,
    position: number,
    needed: Resources,
    limit: number,
): number {
    let times = limit;
    if (needed.cpuMillis > 0) {
        times = Math.min(times, Math.floor(columns.cpuMillis[position]! / needed.cpuMillis));
    }
    if (needed.memoryMb > 0) {
        times = Math.min(times, Math.floor(columns.memoryMb[position]! / needed.memoryMb));
    }
    if (needed.gpus > 0) {
        times = Math.min(times, Math.floor(columns.gpus[position]! / needed.gpus));
    }
    return Math.max(0, times);
}
