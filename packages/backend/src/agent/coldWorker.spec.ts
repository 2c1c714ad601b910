import { expect } from "chai";
import { startAgentHarness, type AgentHarness } from "./testing/agentHarness.ts";

describe("a worker that is slow after a cold start", () => {
    let harness: AgentHarness;

    beforeEach(async () => {
        harness = startAgentHarness();
        await harness.startWithGrant();
    });

    afterEach(() => harness.stop());

    async function coldRemainingMs(): Promise<number | undefined> {
        const { worker } = await harness.report();
        expect(worker?.condition).to.equal("ready");
        return worker?.coldRemainingMs;
    }

    // Guards against a worker that counts as cold for good because its latest heartbeat is read as if it were new.
    it("is described with the time that is left since its heartbeat", async () => {
        await harness.sendHeartbeat({ coldRemainingMs: 2_000 });
        expect(await coldRemainingMs()).to.equal(2_000);
        await harness.clock.advance(700);
        expect(await coldRemainingMs()).to.equal(1_300);
        await harness.clock.advance(1_400);
        expect(await coldRemainingMs()).to.equal(undefined);
    });

    it("is described as slow for a shorter time if its heartbeat was on its way for long", async () => {
        const sentClockMs = harness.worker.clockMs() - 1_500;
        await harness.sendHeartbeat({ coldRemainingMs: 2_000, clockMs: sentClockMs });
        expect(await coldRemainingMs()).to.equal(500);
    });

    it("is described without a time once a heartbeat says that it is warm", async () => {
        await harness.sendHeartbeat({ coldRemainingMs: 2_000 });
        expect(await coldRemainingMs()).to.equal(2_000);
        await harness.sendHeartbeat({ coldRemainingMs: 0 });
        expect(await coldRemainingMs()).to.equal(undefined);
    });
});
