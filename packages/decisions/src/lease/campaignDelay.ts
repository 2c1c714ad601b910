/** CPU capacity of a process. */
export interface ProcessorShare {
    /** Fraction of a core that the process may use. */
    share: number;
    /** Speed relative to a standard core. */
    speed: number;
}

/** Maximum random part of the delay, so that equal candidates do not campaign at the same time. */
const JITTER_MS = 60;
/** Delay of a candidate with one standard core; the delay is inversely proportional to the CPU capacity. */
const STANDARD_CORE_MS = 40;
/** Maximum delay before jitter. It is bounded because nothing is placed until a candidate has won. */
const MAX_PROCESSOR_DELAY_MS = 200;

/**
 * Delay in milliseconds before a candidate campaigns for the leader's lease. Planning for a large fleet uses a large
 * part of a core, so entries on larger VMs campaign first. `random` is between 0 and 1.
 */
export function campaignDelayOf({ share, speed }: ProcessorShare, random: number): number {
    return Math.min(MAX_PROCESSOR_DELAY_MS, STANDARD_CORE_MS / (share * speed)) + random * JITTER_MS;
}
