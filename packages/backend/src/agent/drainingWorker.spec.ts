import { expect } from "chai";
import { startAgentHarness, type AgentHarness } from "./testing/agentHarness.ts";

describe("a worker that has announced its departure", () => {
    let harness: AgentHarness;

    beforeEach(async () => {
        harness = startAgentHarness();
        await harness.startWithGrant();
    });

    afterEach(() => harness.stop());

    async function remainingMs(): Promise<number | undefined> {
        const { worker } = await harness.report();
        expect(worker?.condition).to.equal("draining");
        return worker?.remainingMs;
    }

    // Guards against a leader that plans with time that has passed since the heartbeat.
    it("is described with the time that is left since its heartbeat", async () => {
        await harness.sendHeartbeat({ isDraining: true, remainingMs: 1_600 });
        expect(await remainingMs()).to.equal(1_600);
        await harness.clock.advance(700);
        expect(await remainingMs()).to.equal(900);
        await harness.clock.advance(1_400);
        expect(await remainingMs()).to.equal(0);
    });

    it("is described with less time if its heartbeat was on its way for long", async () => {
        const sentClockMs = harness.worker.clockMs() - 600;
        await harness.sendHeartbeat({ isDraining: true, remainingMs: 1_600, clockMs: sentClockMs });
        expect(await remainingMs()).to.equal(1_000);
    });

    it("is described without a time if its heartbeat names none", async () => {
        await harness.sendHeartbeat({ isDraining: true });
        expect(await remainingMs()).to.equal(undefined);
    });
});
