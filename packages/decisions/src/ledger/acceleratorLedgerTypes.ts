/** A temporary reservation of an accelerator that the attempt does not use yet. Times are monotonic milliseconds. */
export interface Hold {
    gang: string;
    attempt: number;
    clientAccount: string;
    guaranteed: boolean;
    expiresAt: number;
}

/** Use of an accelerator by an attempt. `guaranteed` matters only while the accelerator is bound to no account. */
export interface AcceleratorUse {
    gang: string;
    attempt: number;
    clientAccount: string;
    guaranteed: boolean;
}

/** One accelerator. It has both a hold and a use while the use is being reclaimed for the hold. */
export interface LedgerSlot {
    hold?: Hold;
    use?: AcceleratorUse;
}

/**
 * Fences off delayed messages about earlier attempts of a gang: attempts below `highest`, the highest attempt seen,
 * and attempts up to and including `closed` are refused.
 */
export interface Fence {
    highest: number;
    closed: number;
    touchedAt: number;
}

/** Reservations and uses of the accelerators of one worker, and the fences of the gangs that reserved them. */
export interface AcceleratorLedger {
    slots: LedgerSlot[];
    fences: ReadonlyMap<string, Fence>;
}

/** The client account that each accelerator is bound to, by accelerator index; undefined if it is bound to none. */
export type BoundAccounts = (string | undefined)[];

/** The time and the bindings that a ledger decision depends on. */
export interface LedgerContext {
    now: number;
    bound: BoundAccounts;
}
