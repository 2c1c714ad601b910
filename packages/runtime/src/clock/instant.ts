import type { Clock } from "./clock.ts";

/** A point in time on the monotonic clock and on the wall clock. */
export interface Instant {
    now: number;
    wall: number;
}

/** Reads both clocks. */
export function instantNow(clock: Clock): Instant {
    return { now: clock.now(), wall: clock.wall() };
}

/**
 * Milliseconds since `since`, for the expiry of leases and grants. The monotonic clock stops while a VM is suspended
 * and the wall clock can be set back, so the larger of the two differences is returned.
 */
export function elapsedSince(clock: Clock, since: Instant): number {
    return Math.max(clock.now() - since.now, clock.wall() - since.wall);
}
