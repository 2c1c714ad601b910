import type { Binding } from "../document/documentTypes.ts";
import type { AcceleratorState } from "../fleet/reportTypes.ts";
import type { GangAttemptId, Reservation } from "../gang/gangTypes.ts";
import type {
    BoundAccounts,
    Fence,
    AcceleratorLedger,
    LedgerContext,
    LedgerSlot,
    AcceleratorUse,
} from "./acceleratorLedgerTypes.ts";

/** Result of a reservation. `displaced` lists the attempts whose tasks must be preempted before it can be granted. */
export type ReserveDecision =
    | { kind: "granted"; ledger: AcceleratorLedger }
    | { kind: "reclaiming"; ledger: AcceleratorLedger; displaced: GangAttemptId[] }
    | { kind: "refused"; ledger: AcceleratorLedger; reason: "stale" | "occupied" | "invalid" };

/** Time for which a fence is kept. Calls have a time limit, so no message about the attempt can arrive later. */
const FENCE_RETENTION_MS = 3_600_000;

/** Creates the ledger of a worker whose accelerators are all free. */
export function createAcceleratorLedger(accelerators: number): AcceleratorLedger {
    return { slots: Array.from({ length: accelerators }, () => ({})), fences: new Map() };
}

/** Finds the client account that each accelerator of one worker is bound to. */
export function boundAccounts(
    bindings: Binding[],
    rack: string,
    slot: number,
    accelerators: number,
): BoundAccounts {
    const bound: BoundAccounts = Array.from({ length: accelerators }, () => undefined);
    for (const binding of bindings) {
        for (const accelerator of binding.accelerators) {
            if (accelerator.rack === rack && accelerator.slot === slot) {
                bound[accelerator.index] = binding.clientAccount;
            }
        }
    }
    return bound;
}

/** Grants, renews or refuses a reservation, always for all its accelerators together. */
export function reserve(
    ledger: AcceleratorLedger,
    request: Reservation,
    context: LedgerContext,
): ReserveDecision {
    const fence = ledger.fences.get(request.gang);
    if (fence && (request.attempt < fence.highest || request.attempt <= fence.closed)) {
        return { kind: "refused", ledger, reason: "stale" };
    }
    const indexes = new Set(request.indexes);
    if (indexes.size !== request.indexes.length || indexes.size === 0) {
        return { kind: "refused", ledger, reason: "invalid" };
    }
    const displaced = new Map<string, GangAttemptId>();
    for (const index of indexes) {
        const slot = ledger.slots[index];
        if (!slot) {
            return { kind: "refused", ledger, reason: "invalid" };
        }
        if (!canReplaceHold(slot, index, request, context) || !canPreemptUse(slot, index, request, context)) {
            return { kind: "refused", ledger, reason: "occupied" };
        }
        if (slot.use) {
            displaced.set(slot.use.gang, { gang: slot.use.gang, attempt: slot.use.attempt });
        }
    }
    const { gang, attempt, clientAccount, guaranteed, holdMs } = request;
    const hold = { gang, attempt, clientAccount, guaranteed, expiresAt: context.now + holdMs };
    const slots = ledger.slots.map((slot, index) => {
        if (indexes.has(index)) {
            return { ...slot, hold };
        }
        return slot.hold?.gang === gang ? { use: slot.use } : slot;
    });
    const held = { slots, fences: withFence(ledger, request, context.now, false) };
    if (displaced.size > 0) {
        return { kind: "reclaiming", ledger: held, displaced: [...displaced.values()] };
    }
    return { kind: "granted", ledger: held };
}

/** Turns the holds of an attempt into uses. Returns undefined if a hold has expired or a preempted task still runs. */
export function occupy(
    ledger: AcceleratorLedger,
    reference: GangAttemptId,
    now: number,
): AcceleratorLedger | undefined {
    if (isClosed(ledger, reference)) {
        return undefined;
    }
    let occupied = 0;
    const slots: LedgerSlot[] = [];
    for (const slot of ledger.slots) {
        const { hold } = slot;
        if (!hold || !isSameAttempt(hold, reference)) {
            slots.push(slot);
            continue;
        }
        if (hold.expiresAt <= now || slot.use) {
            return undefined;
        }
        const { gang, attempt, clientAccount, guaranteed } = hold;
        slots.push({ use: { gang, attempt, clientAccount, guaranteed } });
        occupied++;
    }
    return occupied === 0 ? undefined : { ...ledger, slots };
}

/**
 * Removes the holds of an attempt and of earlier attempts of its gang, and refuses them from then on. Uses remain
 * until `releaseAttempt`.
 */
export function closeAttempt(
    ledger: AcceleratorLedger,
    reference: GangAttemptId,
    now: number,
): AcceleratorLedger {
    const slots = ledger.slots.map(slot => {
        const { hold } = slot;
        const ended = hold?.gang === reference.gang && hold.attempt <= reference.attempt;
        return ended ? { use: slot.use } : slot;
    });
    return { slots, fences: withFence(ledger, reference, now, true) };
}

/** Removes the uses of an attempt whose tasks have ended. */
export function releaseAttempt(ledger: AcceleratorLedger, reference: GangAttemptId): AcceleratorLedger {
    const slots = ledger.slots.map(slot =>
        slot.use && isSameAttempt(slot.use, reference) ? { hold: slot.hold } : slot,
    );
    return { ...ledger, slots };
}

/** Returns true if messages about the attempt are refused: it is closed, or a later attempt of its gang is known. */
export function isClosed(ledger: AcceleratorLedger, reference: GangAttemptId): boolean {
    const fence = ledger.fences.get(reference.gang);
    return fence !== undefined && (reference.attempt <= fence.closed || reference.attempt < fence.highest);
}

/** Indexes of the accelerators that an attempt uses. */
export function usedIndexes(ledger: AcceleratorLedger, reference: GangAttemptId): number[] {
    const indexes: number[] = [];
    for (const [index, { use }] of ledger.slots.entries()) {
        if (use && isSameAttempt(use, reference)) {
            indexes.push(index);
        }
    }
    return indexes;
}

/**
 * Returns true if the use cannot be reclaimed: the accelerator is bound to its client account, or it is bound to no
 * account and the use is guaranteed.
 */
export function isOwned(use: AcceleratorUse, index: number, bound: BoundAccounts): boolean {
    const owner = bound[index];
    return owner === undefined ? use.guaranteed : owner === use.clientAccount;
}

/** The states of the accelerators as the agent reports them to entries. */
export function acceleratorStates(ledger: AcceleratorLedger, context: LedgerContext): AcceleratorState[] {
    return ledger.slots.map(({ hold, use }, index): AcceleratorState => {
        if (hold && hold.expiresAt > context.now) {
            return { kind: "held", clientAccount: hold.clientAccount };
        }
        if (use) {
            const reclaimable = !isOwned(use, index, context.bound);
            return { kind: "used", clientAccount: use.clientAccount, reclaimable };
        }
        return { kind: "free" };
    });
}

function isSameAttempt(a: GangAttemptId, b: GangAttemptId): boolean {
    return a.gang === b.gang && a.attempt === b.attempt;
}

/** True if the request may replace holds and uses that only borrow this accelerator. */
function canReclaim(request: Reservation, index: number, bound: BoundAccounts): boolean {
    const owner = bound[index];
    return owner === undefined ? request.guaranteed : owner === request.clientAccount;
}

function canReplaceHold(
    slot: LedgerSlot,
    index: number,
    request: Reservation,
    context: LedgerContext,
): boolean {
    const { hold } = slot;
    if (!hold || hold.expiresAt <= context.now || hold.gang === request.gang) {
        return true;
    }
    return canReclaim(request, index, context.bound) && !isOwned(hold, index, context.bound);
}

/** An earlier attempt of the same gang can always be preempted, since another entry now coordinates the job. */
function canPreemptUse(
    slot: LedgerSlot,
    index: number,
    request: Reservation,
    context: LedgerContext,
): boolean {
    const { use } = slot;
    if (!use) {
        return true;
    }
    if (use.gang === request.gang) {
        return use.attempt < request.attempt;
    }
    return canReclaim(request, index, context.bound) && !isOwned(use, index, context.bound);
}

function withFence(
    ledger: AcceleratorLedger,
    reference: GangAttemptId,
    now: number,
    closed: boolean,
): Map<string, Fence> {
    const fences = new Map<string, Fence>();
    for (const [gang, fence] of ledger.fences) {
        if (now - fence.touchedAt < FENCE_RETENTION_MS) {
            fences.set(gang, fence);
        }
    }
    const known = fences.get(reference.gang);
    fences.set(reference.gang, {
        highest: Math.max(known?.highest ?? 0, reference.attempt),
        closed: closed ? Math.max(known?.closed ?? 0, reference.attempt) : (known?.closed ?? 0),
        touchedAt: now,
    });
    return fences;
}
