import { expect } from "chai";
import { Left, Right, type Either } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import type { SendStoreCall, StoreCall, StoreReply } from "../keyvalue/keyValueTypes.ts";
import { createRoutedSend } from "./routedSend.ts";

describe("the routed send", () => {
    const call: StoreCall = { effect: "read", method: "GET", path: "/x", timeoutMs: 1_500, heldMs: 0 };
    type RouteBehavior = "answers" | "busy" | "silent" | "unreachable";
    let clock: ManualClock;
    let direct: RouteBehavior;
    let relay: RouteBehavior;
    let calls: string[];
    let send: SendStoreCall;

    function fakeRoute(route: string, behavior: () => RouteBehavior): SendStoreCall {
        return async ({ timeoutMs }): Promise<Either<Failure, StoreReply>> => {
            calls.push(route);
            switch (behavior()) {
                case "answers":
                    return Right({ status: 200, body: route });
                case "busy":
                    return Right({ status: 503, body: "" });
                case "unreachable":
                    return Left(failure("not-run", "platform-unavailable", "refused"));
                case "silent":
                    await new Promise<void>(resolve => clock.startTimer(timeoutMs, resolve));
                    return Left(failure("may-have-run", "platform-unavailable", "timeout"));
            }
        };
    }

    beforeEach(() => {
        clock = createManualClock();
        calls = [];
        direct = "answers";
        relay = "answers";
        send = createRoutedSend({
            direct: fakeRoute("direct", () => direct),
            relays: () => [{ name: "peer", send: fakeRoute("relay", () => relay) }],
            clock,
            log: noopLog,
        });
    });

    async function sendAndAdvance(): Promise<Either<Failure, StoreReply>> {
        let isDone = false;
        const result = send(call);
        void result.finally(() => (isDone = true));
        for (let step = 0; step < 100 && !isDone; step++) {
            await clock.advance(50);
        }
        return result;
    }

    it("calls the store directly while the store serves this process", async () => {
        await sendAndAdvance();
        await sendAndAdvance();
        expect(calls).to.deep.equal(["direct", "direct"]);
    });

    it("goes through a relay when the store refuses this process", async () => {
        direct = "busy";
        expect((await sendAndAdvance()).extract()).to.deep.equal({ status: 200, body: "relay" });
        calls = [];
        await sendAndAdvance();
        expect(calls).to.deep.equal(["relay"]);
    });

    it("goes through a relay before the call times out when the direct route does not reply", async () => {
        direct = "silent";
        const startedAt = clock.now();
        expect((await sendAndAdvance()).extract()).to.deep.equal({ status: 200, body: "relay" });
        expect(clock.now() - startedAt).to.be.below(call.timeoutMs);
    });

    it("returns to the direct route soon after the store serves this process again", async () => {
        direct = "busy";
        await sendAndAdvance();
        direct = "answers";
        await clock.advance(1_500);
        calls = [];
        await sendAndAdvance();
        expect(calls).to.deep.equal(["direct"]);
    });

    describe("when a relay does not reply", () => {
        let relayBehaviors: Record<string, RouteBehavior>;

        beforeEach(() => {
            relayBehaviors = { gone: "silent", alive: "answers" };
            send = createRoutedSend({
                direct: fakeRoute("direct", () => direct),
                relays: () =>
                    Object.keys(relayBehaviors).map(name => ({
                        name,
                        send: fakeRoute(name, () => relayBehaviors[name]!),
                    })),
                clock,
                log: noopLog,
            });
        });

        it("skips the relay during its cooldown, so that not every second call waits for it", async () => {
            // Without the cooldown every second call of the leader waited 600 ms for a dead entry after a store outage.
            direct = "silent";
            await sendAndAdvance();
            await sendAndAdvance();
            const startedAt = clock.now();
            await sendAndAdvance();
            await sendAndAdvance();
            expect(clock.now() - startedAt).to.be.below(200);
            expect(calls.slice(-2)).to.deep.equal(["alive", "alive"]);
        });

        it("retries the direct route at once when the relay does not reply either", async () => {
            relayBehaviors = { gone: "silent" };
            direct = "busy";
            await sendAndAdvance();
            direct = "answers";
            await sendAndAdvance();
            calls = [];
            await sendAndAdvance();
            expect(calls).to.deep.equal(["direct"]);
        });
    });

    describe("when every route fails", () => {
        it("reports may-have-run if one route got no reply", async () => {
            direct = "silent";
            relay = "busy";
            expect((await sendAndAdvance()).swap().unsafeCoerce().verdict).to.equal("may-have-run");
        });

        it("reports not-run if both routes were refused", async () => {
            direct = "unreachable";
            relay = "unreachable";
            expect((await sendAndAdvance()).swap().unsafeCoerce().verdict).to.equal("not-run");
        });
    });

    describe("without relays", () => {
        it("always calls the store directly", async () => {
            send = createRoutedSend({
                direct: fakeRoute("direct", () => "busy"),
                relays: () => [],
                clock,
                log: noopLog,
            });
            expect((await sendAndAdvance()).extract()).to.deep.include({ status: 503 });
        });
    });
});
