import type { Clock } from "./clock.ts";

/** A moment on both clocks of the process. */
export interface Instant {
    now: number;
    wall: number;
}

/** The present moment. */
export function instantNow(clock: Clock): Instant {
    return { now: clock.now(), wall: clock.wall() };
}

/**
 * Milliseconds since a moment, for the expiry of leases and grants. The monotonic clock stands still while a VM is
 * suspended and the wall clock may be set back, so the larger of the two differences counts.
 */
export function elapsedSince(clock: Clock, since: Instant): number {
    return Math.max(clock.now() - since.now, clock.wall() - since.wall);
}
