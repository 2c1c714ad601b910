/** An attempt's right to accelerators that are not in use by it yet. Times are monotonic milliseconds. */
export interface Hold {
    gang: string;
    attempt: number;
    clientAccount: string;
    guaranteed: boolean;
    expiresAt: number;
}

/** A task on an accelerator. `guaranteed` counts only while the accelerator is bound to no account. */
export interface AcceleratorUse {
    gang: string;
    attempt: number;
    clientAccount: string;
    guaranteed: boolean;
}

/** One accelerator. A hold stands beside a use while the use is being reclaimed for it. */
export interface LedgerSlot {
    hold?: Hold;
    use?: AcceleratorUse;
}

/** Attempts of one gang that are known here. Attempts up to `closed` are refused. */
export interface Fence {
    highest: number;
    closed: number;
    touchedAt: number;
}

/** The accelerators of one worker and the fences of the gangs that asked for them. */
export interface AcceleratorLedger {
    slots: LedgerSlot[];
    fences: ReadonlyMap<string, Fence>;
}

/** The client account that each accelerator is bound to, by index. */
export type BoundAccounts = (string | undefined)[];

/** What a ledger decision depends on besides the ledger. */
export interface LedgerContext {
    now: number;
    bound: BoundAccounts;
}
