import type { Accelerator, Rack } from "../document/documentTypes.ts";

/** Free accelerators of one rack. */
export interface RackCapacity {
    name: string;
    /** Position of the next rack of the availability zone; undefined for the last one. */
    next: number | undefined;
    /** Whether the rack is the first of its availability zone. */
    isFirstOfZone: boolean;
    /** Indexes of the free accelerators by slot, in ascending order. */
    slots: number[][];
}

/** Capacity with all declared accelerators free, in the order of the document's racks. */
export function declaredCapacity(racks: Rack[]): RackCapacity[] {
    const capacity: RackCapacity[] = [];
    const lastOfZone = new Map<string, number>();
    for (const [position, rack] of racks.entries()) {
        const previous = lastOfZone.get(rack.availabilityZone);
        const slots = Array.from({ length: rack.workers }, () => ascending(rack.acceleratorsPerWorker));
        capacity.push({ name: rack.name, next: undefined, isFirstOfZone: previous === undefined, slots });
        if (previous !== undefined) {
            capacity[previous]!.next = position;
        }
        lastOfZone.set(rack.availabilityZone, position);
    }
    return capacity;
}

/** Number of free accelerators of a rack. */
export function freeInRack(rack: RackCapacity): number {
    let free = 0;
    for (const slot of rack.slots) {
        free += slot.length;
    }
    return free;
}

/** Removes accelerators from the capacity; ignores those that are not in it. */
export function removeAccelerators(capacity: RackCapacity[], accelerators: Accelerator[]): void {
    const byName = new Map(capacity.map(rack => [rack.name, rack]));
    for (const { rack, slot, index } of accelerators) {
        const slots = byName.get(rack)?.slots;
        if (slots?.[slot]) {
            slots[slot] = slots[slot].filter(free => free !== index);
        }
    }
}

/** Returns accelerators to the capacity; ignores those that are already in it. */
export function returnAccelerators(capacity: RackCapacity[], accelerators: Accelerator[]): void {
    const byName = new Map(capacity.map(rack => [rack.name, rack]));
    for (const { rack, slot, index } of accelerators) {
        const slots = byName.get(rack)?.slots;
        if (slots?.[slot] && !slots[slot].includes(index)) {
            slots[slot] = [...slots[slot], index].sort((left, right) => left - right);
        }
    }
}

/** Takes accelerators from a rack by best fit: whole workers, then the tightest worker that holds the remainder. */
export function takeFromRack(rack: RackCapacity, count: number): Accelerator[] {
    const taken: Accelerator[] = [];
    while (taken.length < count) {
        const missing = count - taken.length;
        const slot = tightestSlot(rack, missing);
        if (slot === undefined) {
            return taken;
        }
        taken.push(...takeFromSlot(rack, slot, Math.min(missing, rack.slots[slot]!.length)));
    }
    return taken;
}

/** Takes the accelerators with the lowest free indexes of one worker. */
export function takeFromSlot(rack: RackCapacity, slot: number, count: number): Accelerator[] {
    return rack.slots[slot]!.splice(0, count).map(index => ({ rack: rack.name, slot, index }));
}

/**
 * Slot of the worker to take from next: the largest one that the missing accelerators use up, unless a remainder would
 * fit into a single worker; then the tightest worker that holds all of it.
 */
function tightestSlot(rack: RackCapacity, missing: number): number | undefined {
    let usedUp: number | undefined;
    let tightest: number | undefined;
    for (const [slot, { length }] of rack.slots.entries()) {
        if (length > 0 && length <= missing && length > (rack.slots[usedUp ?? -1]?.length ?? 0)) {
            usedUp = slot;
        }
        if (length > missing && length < (rack.slots[tightest ?? -1]?.length ?? Infinity)) {
            tightest = slot;
        }
    }
    if (usedUp !== undefined && (rack.slots[usedUp]!.length === missing || tightest === undefined)) {
        return usedUp;
    }
    return tightest ?? usedUp;
}

function ascending(length: number): number[] {
    return Array.from({ length }, (_, index) => index);
}
