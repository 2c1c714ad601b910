import { expect } from "chai";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createManualClock } from "../clock/manualClock.ts";
import { startMetricsListener, type ProcessHealth } from "./metricsListener.ts";
import { createPromMetrics, type ExposedMetrics } from "./promMetrics.ts";

describe("the metrics of a process", () => {
    const clock = createManualClock();
    let metrics: ExposedMetrics;

    beforeEach(() => {
        metrics = createPromMetrics(clock);
    });
    afterEach(() => metrics.stop());

    describe("when requests end", () => {
        it("counts them by verdict and reason, without the failure's text, which could name an account", async () => {
            metrics.ended("request", failure("not-run", "draining", "The account secret-account waits."));
            const text = await metrics.text();
            expect(text).to.contain('tanagerdeck_ended_total{form="request",verdict="not-run"} 1');
            expect(text).to.contain('tanagerdeck_refused_total{reason="draining"} 1');
            expect(text).not.to.contain("secret-account");
        });
    });

    describe("when the fleet changes", () => {
        it("counts the agents in each state, with 0 for a state without agents", async () => {
            metrics.agents([{ state: "serving" }, { state: "serving" }, { state: "gone" }]);
            const text = await metrics.text();
            expect(text).to.contain('tanagerdeck_agents{state="serving"} 2');
            expect(text).to.contain('tanagerdeck_agents{state="suspect"} 0');
        });
    });

    describe("on the metrics listener", () => {
        it("fails the health check once a graceful stop begins, so that the load balancer sends no more", async () => {
            let health: ProcessHealth = "serving";
            const { contentType, text } = metrics;
            const options = { address: "127.0.0.1:0", contentType, text, health: () => health };
            const listener = await startMetricsListener(options);
            const url = `http://${listener.address}`;
            expect((await fetch(`${url}/health`)).status).to.equal(200);
            health = "stopping";
            expect((await fetch(`${url}/health`)).status).to.equal(503);
            expect(await (await fetch(`${url}/metrics`)).text()).to.contain(
                "tanagerdeck_resident_memory_bytes",
            );
            await listener.close();
        });
    });
});
