import { createDirectSend } from "@tanagerdeck/platform/store/directSend";
import { createPlatformStore } from "@tanagerdeck/platform/store/platformStore";
import type { RelayReply } from "@tanagerdeck/peer/session/planRouters";
import type { PlanClients } from "@tanagerdeck/peer/session/planClients";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { RemoteCallResult, SchedulerMetrics } from "@tanagerdeck/runtime/metrics/schedulerMetrics";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { KeyValueStore, SendStoreCall, StoreCall } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import { createRoutedSend } from "@tanagerdeck/store/relay/routedSend";

/** Access of a process to the store: directly or, when the direct call fails, through a relay. */
export interface StoreAccess {
    store: KeyValueStore;
    /** Sends a call on behalf of another process. Only the direct connection is used, so that relays never chain. */
    relay(call: StoreCall): Promise<RelayReply>;
    /** Whether the latest call got no answer, or a 429 or 503, on the direct route and through the relays. */
    isFailing(): boolean;
    /** Whether calls have failed for longer than `UNAVAILABLE_AFTER_MS`. */
    isUnavailable(): boolean;
    close(): Promise<void>;
}

/** Dependencies of the store access; `address` is the store's own address. */
export interface StoreAccessOptions {
    address: string;
    /** Returns the peer addresses of processes that can relay calls. */
    relays: () => string[];
    clients: PlanClients;
    clock: Clock;
    log: Log;
    metrics: SchedulerMetrics;
}

/** Time of failing calls after which the store counts as unavailable. */
const UNAVAILABLE_AFTER_MS = 400;

/** Opens the direct connection to the store and the routes through relays, and counts every call in the metrics. */
export function openStoreAccess(options: StoreAccessOptions): StoreAccess {
    const { address, relays, clients, clock, log, metrics } = options;
    const direct = createDirectSend(address);
    const sendRouted = createRoutedSend({
        direct: direct.send,
        relays: () => relays().map(relay => ({ name: relay, send: clients.relay(relay) })),
        clock,
        log,
    });
    let failingSince: number | undefined;

    const sendWithMetrics: SendStoreCall = async call => {
        const startedAt = clock.now();
        const result = await sendRouted(call);
        const outcome = result.caseOf<RemoteCallResult>({
            Left: () => "unanswered",
            Right: ({ status }) => (status === 503 || status === 429 ? "turned-away" : "answered"),
        });
        const bytes = result.map(({ body }) => Buffer.byteLength(body)).orDefault(0);
        metrics.storeCalled(call.effect, outcome, (clock.now() - startedAt) / 1_000, bytes);
        if (outcome === "answered") {
            if (failingSince !== undefined) {
                log.info("The store answers again.", { awayMs: Math.round(clock.now() - failingSince) });
            }
            failingSince = undefined;
        } else if (failingSince === undefined) {
            failingSince = clock.now();
            log.warn("The store does not answer.", {
                operation: call.effect,
                outcome: result.caseOf({
                    Left: ({ detail }) => detail,
                    Right: ({ status }) => `status ${status}`,
                }),
            });
        }
        return result;
    };

    return {
        store: createPlatformStore(sendWithMetrics),
        async relay(call) {
            const result = await direct.send(call);
            return result.caseOf<RelayReply>({
                Left: ({ verdict, detail }) => ({
                    kind: "failed",
                    verdict: verdict === "not-run" ? "not-run" : "may-have-run",
                    detail,
                }),
                Right: reply => ({ kind: "reply", reply }),
            });
        },
        isFailing: () => failingSince !== undefined,
        isUnavailable: () => failingSince !== undefined && clock.now() - failingSince > UNAVAILABLE_AFTER_MS,
        close: direct.close,
    };
}
