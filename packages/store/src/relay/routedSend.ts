import type { Either } from "purify-ts/Either";
import { Left } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { SendStoreCall, StoreCall, StoreReply } from "../keyvalue/keyValueTypes.ts";

/** A process that forwards calls to the store. */
export interface StoreRelay {
    name: string;
    send: SendStoreCall;
}

/** Dependencies of a routed sender. */
export interface RoutedSendOptions {
    /** Sends a call straight to the store. */
    direct: SendStoreCall;
    /** Processes that may reach the store when this one cannot, nearest first. */
    relays: () => StoreRelay[];
    clock: Clock;
    log: Log;
}

/**
 * Time without the beginning of a reply after which a call is also sent by the second route; a slow store replies within
 * 400 ms. A reply that has begun is waited for, as a second copy would arrive over the same link.
 * Sending a call twice is safe: transactions are conditional, and an unused lease expires.
 */
const HEDGE_DELAY_MS = 600;
/** How long a route is tried last after it refused or failed at once; another such failure costs little time. */
const FAILURE_COOLDOWN_MS = 200;
/** How long a route is tried last after a timeout; another timeout would delay a call by up to `HEDGE_DELAY_MS`. */
const TIMEOUT_COOLDOWN_MS = 1_000;
/** A failure that took this long counts as a timeout; connection attempts are given up after 500 ms. */
const TIMEOUT_THRESHOLD_MS = 400;

type SendResult = Either<Failure, StoreReply>;

/** A route to the store: direct, or through a relay. */
interface Route {
    name: string;
    send: SendStoreCall;
}

const DIRECT = "direct";

/**
 * Creates a sender that calls the store directly, and through another process while the store refuses this one
 * or cannot be reached from here. Status 429 or 503 is a refusal: the call was not executed.
 */
export function createRoutedSend({ direct, relays, clock, log }: RoutedSendOptions): SendStoreCall {
    /** End of the cooldown of each route that failed, by name. A route in cooldown is tried last. */
    const cooldownUntil = new Map<string, number>();
    let nextRelay = 0;

    function isCoolingDown(name: string): boolean {
        return clock.now() < (cooldownUntil.get(name) ?? 0);
    }

    function startCooldown(name: string, cooldownMs: number): void {
        cooldownUntil.set(name, Math.max(cooldownUntil.get(name) ?? 0, clock.now() + cooldownMs));
    }

    function trackFailures({ name, send }: Route): Route {
        return {
            name,
            async send(call, onReplyStarted) {
                const startedAt = clock.now();
                const result = await send(call, onReplyStarted);
                const wasFailing = cooldownUntil.has(name);
                if (!isRefusedOrFailed(result)) {
                    cooldownUntil.delete(name);
                    if (wasFailing && name === DIRECT) {
                        log.info("Direct calls to the store succeed again.");
                    }
                    return result;
                }
                const hasTimedOut = clock.now() - startedAt - call.heldMs >= TIMEOUT_THRESHOLD_MS;
                startCooldown(name, hasTimedOut ? TIMEOUT_COOLDOWN_MS : FAILURE_COOLDOWN_MS);
                if (!wasFailing && name === DIRECT) {
                    log.warn("A direct call to the store failed.", {
                        outcome: describeResult(result),
                    });
                }
                return result;
            },
        };
    }

    /** Picks relays round-robin and skips those in cooldown, unless all of them are. */
    function chooseRelay(): Route | undefined {
        const candidates = relays();
        const first = nextRelay++;
        for (let step = 0; step < candidates.length; step++) {
            const relay = candidates[(first + step) % candidates.length]!;
            if (!isCoolingDown(relay.name)) {
                return relay;
            }
        }
        return candidates[first % Math.max(1, candidates.length)];
    }

    /** Returns the routes for one call, preferred route first. */
    function chooseRoutes(): Route[] {
        const own = trackFailures({ name: DIRECT, send: direct });
        const relay = chooseRelay();
        if (!relay) {
            return [own];
        }
        const isRelayPreferred = isCoolingDown(DIRECT) && !isCoolingDown(relay.name);
        return isRelayPreferred ? [trackFailures(relay), own] : [own, trackFailures(relay)];
    }

    return call => raceRoutes(chooseRoutes(), call, clock, name => startCooldown(name, TIMEOUT_COOLDOWN_MS));
}

/** Sends by the first route, and by the next one if it fails or does not reply in time; the first reply wins. */
function raceRoutes(
    routes: Route[],
    call: StoreCall,
    clock: Clock,
    onTimeout: (name: string) => void,
): Promise<SendResult> {
    return new Promise(resolve => {
        const remainingRoutes = [...routes];
        let pendingCalls = 0;
        let lastFailure: SendResult | undefined;
        let cancelHedge = () => {};

        function startNext(): void {
            const route = remainingRoutes.shift();
            if (!route) {
                return;
            }
            pendingCalls += 1;
            if (remainingRoutes.length > 0) {
                cancelHedge = clock.startTimer(HEDGE_DELAY_MS + call.heldMs, () => {
                    onTimeout(route.name);
                    startNext();
                });
            }
            route
                .send(call, () => cancelHedge())
                .then(handleResult, error => handleResult(Left(sendFailure(String(error)))));
        }

        function handleResult(result: SendResult): void {
            pendingCalls -= 1;
            if (!isRefusedOrFailed(result)) {
                cancelHedge();
                resolve(result);
                return;
            }
            lastFailure = lessCertain(lastFailure, result);
            cancelHedge();
            if (remainingRoutes.length > 0) {
                startNext();
                return;
            }
            if (pendingCalls === 0) {
                resolve(lastFailure);
            }
        }

        startNext();
    });
}

function isRefusedOrFailed(result: SendResult): boolean {
    return result.caseOf({ Left: () => true, Right: ({ status }) => status === 429 || status === 503 });
}

/** Of two failures, returns the one that leaves more open: a call that may have run outweighs a refusal. */
function lessCertain(left: SendResult | undefined, right: SendResult): SendResult {
    return left !== undefined && mayHaveRun(left) ? left : right;
}

function mayHaveRun(result: SendResult): boolean {
    return result.caseOf({ Left: problem => problem.verdict !== "not-run", Right: () => false });
}

function describeResult(result: SendResult): string {
    return result.caseOf({ Left: problem => problem.detail, Right: ({ status }) => `status ${status}` });
}

function sendFailure(detail: string): Failure {
    return failure("may-have-run", "platform-unavailable", detail);
}
