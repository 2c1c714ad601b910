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
/** How long the direct way stays second choice after it has failed. */
const DIRECT_PAUSE_MS = 1_000;

type SendResult = Either<Failure, StoreReply>;

/**
 * A sender that goes through another process while the store turns this one away or cannot be reached from here.
 * A reply counts as turned away if it is 429 or 503, which state that the call was not executed.
 */
export function createRoutedSend({ direct, relays, clock, log }: RoutedSendOptions): SendStoreCall {
    let directPausedUntil = 0;
    let nextRelay = 0;

    async function sendDirect(call: StoreCall): Promise<SendResult> {
        const result = await direct(call);
        const wasPaused = directPausedUntil > 0;
        if (isTurnedAway(result)) {
            directPausedUntil = clock.now() + DIRECT_PAUSE_MS;
            if (!wasPaused) {
                log.warn("The store does not serve this process directly.", { outcome: describe(result) });
            }
        } else if (wasPaused) {
            directPausedUntil = 0;
            log.info("The store serves this process directly again.");
        }
        return result;
    }

    /** The ways of one call, best first. */
    function chooseRoutes(): SendStoreCall[] {
        const candidates = relays();
        const relay = candidates[nextRelay++ % Math.max(1, candidates.length)];
        if (!relay) {
            return [sendDirect];
        }
        return clock.now() < directPausedUntil ? [relay.send, sendDirect] : [sendDirect, relay.send];
    }

    return call => raceRoutes(chooseRoutes(), call, clock);
}

/** Sends by the first way, and by the second one if the first fails or stays silent; the first reply wins. */
function raceRoutes(routes: SendStoreCall[], call: StoreCall, clock: Clock): Promise<SendResult> {
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
                stopHedge = clock.startTimer(HEDGE_MS + call.heldMs, startNext);
            }
            route(call).then(settle, error => settle(Left(sendFailure(String(error)))));
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
