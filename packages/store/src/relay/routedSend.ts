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
    /** Sends to the store itself. */
    direct: SendStoreCall;
    /** Processes that may reach the store when this one does not, nearest first. */
    relays: () => StoreRelay[];
    clock: Clock;
    log: Log;
}

/**
 * Silence after which a call is also sent another way. A slow store answers within 400 ms. Repeating a call is
 * safe: transactions are conditional, and a lease that nobody uses ends by itself.
 */
const HEDGE_MS = 600;
/** How long a way stays second choice after it refused or failed at once; trying it again costs little time. */
const FAILED_REST_MS = 200;
/** The same after it stayed silent for most of `HEDGE_MS`, as each try holds a call up. */
const SILENT_REST_MS = 1_000;
/** A failure that took this long counts as silence; connection attempts end after 500 ms. */
const SILENT_MS = 400;

type SendResult = Either<Failure, StoreReply>;

/** A way to the store with what is known of it. */
interface Route {
    name: string;
    send: SendStoreCall;
}

const DIRECT = "direct";

/**
 * A sender that goes through another process while the store turns this one away or cannot be reached from here.
 * A reply counts as turned away if it is 429 or 503, which state that the call was not executed.
 */
export function createRoutedSend({ direct, relays, clock, log }: RoutedSendOptions): SendStoreCall {
    /** Until when a way is second choice, by its name. */
    const restsUntil = new Map<string, number>();
    let nextRelay = 0;

    function isResting(name: string): boolean {
        return clock.now() < (restsUntil.get(name) ?? 0);
    }

    function rest(name: string, restMs: number): void {
        restsUntil.set(name, Math.max(restsUntil.get(name) ?? 0, clock.now() + restMs));
    }

    function watched({ name, send }: Route): Route {
        return {
            name,
            async send(call) {
                const startedAt = clock.now();
                const result = await send(call);
                const wasFailing = restsUntil.has(name);
                if (!isTurnedAway(result)) {
                    restsUntil.delete(name);
                    if (wasFailing && name === DIRECT) {
                        log.info("The store serves this process directly again.");
                    }
                    return result;
                }
                const wasSilent = clock.now() - startedAt - call.heldMs >= SILENT_MS;
                rest(name, wasSilent ? SILENT_REST_MS : FAILED_REST_MS);
                if (!wasFailing && name === DIRECT) {
                    log.warn("The store does not serve this process directly.", {
                        outcome: describe(result),
                    });
                }
                return result;
            },
        };
    }

    /** The next relay that is not resting, or the next one if all are. */
    function chooseRelay(): Route | undefined {
        const candidates = relays();
        const first = nextRelay++;
        for (let step = 0; step < candidates.length; step++) {
            const relay = candidates[(first + step) % candidates.length]!;
            if (!isResting(relay.name)) {
                return relay;
            }
        }
        return candidates[first % Math.max(1, candidates.length)];
    }

    /** The ways of one call, best first. */
    function chooseRoutes(): Route[] {
        const own = watched({ name: DIRECT, send: direct });
        const relay = chooseRelay();
        if (!relay) {
            return [own];
        }
        const isRelayBetter = isResting(DIRECT) && !isResting(relay.name);
        return isRelayBetter ? [watched(relay), own] : [own, watched(relay)];
    }

    return call => raceRoutes(chooseRoutes(), call, clock, name => rest(name, SILENT_REST_MS));
}

/** Sends by the first way, and by the second one if the first fails or stays silent; the first reply wins. */
function raceRoutes(
    routes: Route[],
    call: StoreCall,
    clock: Clock,
    noteSilent: (name: string) => void,
): Promise<SendResult> {
    return new Promise(resolve => {
        const waiting = [...routes];
        let running = 0;
        let problem: SendResult | undefined;
        let stopHedge = () => {};

        function startNext(): void {
            const route = waiting.shift();
            if (!route) {
                return;
            }
            running += 1;
            if (waiting.length > 0) {
                stopHedge = clock.startTimer(HEDGE_MS + call.heldMs, () => {
                    noteSilent(route.name);
                    startNext();
                });
            }
            route.send(call).then(settle, error => settle(Left(sendFailure(String(error)))));
        }

        function settle(result: SendResult): void {
            running -= 1;
            if (!isTurnedAway(result)) {
                stopHedge();
                resolve(result);
                return;
            }
            problem = worse(problem, result);
            stopHedge();
            if (waiting.length > 0) {
                startNext();
                return;
            }
            if (running === 0) {
                resolve(problem);
            }
        }

        startNext();
    });
}

function isTurnedAway(result: SendResult): boolean {
    return result.caseOf({ Left: () => true, Right: ({ status }) => status === 429 || status === 503 });
}

/** The result that admits more: a call that may have been executed outweighs a refusal. */
function worse(left: SendResult | undefined, right: SendResult): SendResult {
    return left !== undefined && mayHaveRun(left) ? left : right;
}

function mayHaveRun(result: SendResult): boolean {
    return result.caseOf({ Left: problem => problem.verdict !== "not-run", Right: () => false });
}

function describe(result: SendResult): string {
    return result.caseOf({ Left: problem => problem.detail, Right: ({ status }) => `status ${status}` });
}

function sendFailure(detail: string): Failure {
    return failure("may-have-run", "platform-unavailable", detail);
}
