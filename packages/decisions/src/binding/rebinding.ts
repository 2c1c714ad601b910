import type { Accelerator, Binding, ConfigurationDocument } from "../document/documentTypes.ts";
import { bindClaims } from "./bindingSearch.ts";
import {
    declaredCapacity,
    freeInRack,
    type RackCapacity,
    removeAccelerators,
    returnAccelerators,
    takeFromRack,
} from "./rackCapacity.ts";

/** Position of a lost worker. */
export interface LostWorker {
    rack: string;
    slot: number;
}

/** Result of `rebind`; `bindings` are all bindings in their original order, `moved` those with new accelerators. */
export interface Rebinding {
    bindings: Binding[];
    moved: Binding[];
    /** Affected bindings that fit nowhere else; they keep their accelerators until their workers return. */
    unplaced: Binding[];
}

/** Step limit of one search, so that rebinding does not block an entry for long. */
const MAX_REBIND_STEPS = 4_000_000;

/**
 * Moves the bindings that use a lost worker to unbound accelerators.
 * A binding keeps its remaining accelerators if its racks have enough unbound ones to replace the lost ones.
 */
export function rebind(bindings: Binding[], document: ConfigurationDocument, lost: LostWorker[]): Rebinding {
    const lostKeys = new Set(lost.map(workerKey));
    const isLost = (accelerator: Accelerator) => lostKeys.has(workerKey(accelerator));
    const affected = bindings.filter(binding => binding.accelerators.some(isLost));
    const capacity = declaredCapacity(document.racks);
    for (const { rack, slot } of lost) {
        const lostSlots = capacity.find(({ name }) => name === rack)?.slots;
        if (lostSlots?.[slot]) {
            lostSlots[slot] = [];
        }
    }
    removeAccelerators(
        capacity,
        bindings.flatMap(({ accelerators }) => accelerators),
    );
    const movedByBinding = moveBindings(capacity, affected, isLost);
    return {
        bindings: bindings.map(binding => movedByBinding.get(binding) ?? binding),
        moved: [...movedByBinding.values()],
        unplaced: affected.filter(binding => !movedByBinding.has(binding)),
    };
}

/**
 * Moves the affected bindings one by one, the largest first. If one does not fit, searches for all of them together
 * and uses that result if there is one.
 */
function moveBindings(
    capacity: RackCapacity[],
    affected: Binding[],
    isLost: (accelerator: Accelerator) => boolean,
): Map<Binding, Binding> {
    const jointCapacity = structuredClone(capacity);
    const movedByBinding = new Map<Binding, Binding>();
    const largestFirst = [...affected].sort(
        (left, right) => right.shape.accelerators - left.shape.accelerators,
    );
    for (const binding of largestFirst) {
        const moved = moveBinding(capacity, binding, isLost);
        if (moved) {
            movedByBinding.set(binding, moved);
        }
    }
    if (movedByBinding.size === affected.length) {
        return movedByBinding;
    }
    for (const { accelerators } of affected) {
        returnAccelerators(
            jointCapacity,
            accelerators.filter(accelerator => !isLost(accelerator)),
        );
    }
    const joint = bindClaims(jointCapacity, affected.map(withoutAccelerators), MAX_REBIND_STEPS);
    return joint.map(moved => matchBindings(affected, moved)).orDefault(movedByBinding);
}

function moveBinding(
    capacity: RackCapacity[],
    binding: Binding,
    isLost: (accelerator: Accelerator) => boolean,
): Binding | undefined {
    const kept = binding.accelerators.filter(accelerator => !isLost(accelerator));
    const missing = binding.accelerators.length - kept.length;
    const racks = new Set(kept.map(({ rack }) => rack));
    const ownRacks = capacity.filter(({ name }) => racks.has(name));
    const free = ownRacks.reduce((sum, rack) => sum + freeInRack(rack), 0);
    if (binding.shape.span !== "worker" && free >= missing) {
        const added: Accelerator[] = [];
        for (const rack of ownRacks) {
            added.push(...takeFromRack(rack, Math.min(missing - added.length, freeInRack(rack))));
        }
        return { ...binding, accelerators: [...kept, ...added] };
    }
    returnAccelerators(capacity, kept);
    const moved = bindClaims(capacity, [withoutAccelerators(binding)], MAX_REBIND_STEPS);
    if (moved.isLeft()) {
        removeAccelerators(capacity, kept);
    }
    return moved.orDefault([])[0];
}

function matchBindings(affected: Binding[], moved: Binding[]): Map<Binding, Binding> {
    const byGuarantee = new Map(moved.map(binding => [guaranteeKey(binding), binding]));
    return new Map(affected.map(binding => [binding, byGuarantee.get(guaranteeKey(binding))!]));
}

function withoutAccelerators({ clientAccount, guarantee, shape }: Binding) {
    return { clientAccount, guarantee, shape };
}

function guaranteeKey({ clientAccount, guarantee }: Binding): string {
    return `${clientAccount}/${guarantee}`;
}

function workerKey({ rack, slot }: LostWorker): string {
    return `${rack}/${slot}`;
}
