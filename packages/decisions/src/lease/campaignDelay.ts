/** Processor time that a process can use. */
export interface ProcessorShare {
    /** Part of a core. */
    share: number;
    /** How many times as fast as a standard core it is. */
    speed: number;
}

/** Random part of the delay, so that equal candidates do not collide. */
const JITTER_MS = 60;
/** Delay of a candidate with one standard core; one with a third of it waits three times as long. */
const STANDARD_CORE_MS = 40;
/** Longest delay that a small processor adds; nothing is placed until a candidate has won. */
const MAX_PROCESSOR_DELAY_MS = 200;

/**
 * Delay before a candidate campaigns for the leader's lease. Planning for a large fleet takes a good part of a
 * core, so entries on larger VMs go first. `random` is from 0 to 1.
 */
export function campaignDelayOf({ share, speed }: ProcessorShare, random: number): number {
    return Math.min(MAX_PROCESSOR_DELAY_MS, STANDARD_CORE_MS / (share * speed)) + random * JITTER_MS;
}
