import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { ProcessFixture } from "./processFixture.ts";

/** Fault that applies to one message. */
export type MessageFault = "none" | "request-lost" | "reply-lost" | "request-delayed" | "request-duplicated";

/** One call between processes; `step` is the name of the operation. */
export interface CallLabel {
    step: string;
    from: string;
    to: string;
    input: unknown;
}

/** Chooses the fault for each call at the time when it is sent. */
export type ChooseFault = (label: CallLabel) => MessageFault;

/** Simulated calls between processes, with latency, timeouts and faults. */
export interface NetworkFixture {
    chooseFault: ChooseFault;
    /** Delay of a delayed message and of a duplicate. */
    delayMs: number;
    latencyMs: number;
    call<T>(
        from: ProcessFixture,
        to: ProcessFixture | undefined,
        label: { step: string; input: unknown },
        timeoutMs: number,
        run: () => Promise<T>,
    ): Promise<Either<Failure, T>>;
}

/** Builds a network on a shared clock. */
export function createNetworkFixture(clock: Clock): NetworkFixture {
    const network: NetworkFixture = {
        chooseFault: () => "none",
        delayMs: 2_500,
        latencyMs: 1,
        call(from, to, label, timeoutMs, run) {
            const fault = network.chooseFault({ ...label, from: from.name, to: to?.name ?? "" });
            return new Promise(resolve => {
                const settle = (value: Parameters<typeof resolve>[0]) => from.deliver(() => resolve(value));
                const timedOut = failure("may-have-run", "unreachable", "The call timed out.");
                const refused = failure("not-run", "unreachable", "The connection was refused.");
                clock.startTimer(timeoutMs, () => settle(Left(timedOut)));
                const deliverRequest = () => {
                    if (!to?.isAlive()) {
                        settle(Left(refused));
                        return;
                    }
                    to.deliver(() => {
                        void run().then(reply => {
                            if (fault !== "reply-lost") {
                                clock.startTimer(network.latencyMs, () => settle(Right(reply)));
                            }
                        });
                    });
                };
                if (fault === "request-lost") {
                    return;
                }
                const delayMs = fault === "request-delayed" ? network.delayMs : 0;
                clock.startTimer(network.latencyMs + delayMs, deliverRequest);
                if (fault === "request-duplicated") {
                    clock.startTimer(network.latencyMs + network.delayMs, deliverRequest);
                }
            });
        },
    };
    return network;
}
