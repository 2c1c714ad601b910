import { expect } from "chai";
import { Registry } from "prom-client";
import { createManualClock } from "../clock/manualClock.ts";
import { createSchedulerMetrics, type SchedulerMetrics } from "./schedulerMetrics.ts";

describe("the metrics of evacuated zones", () => {
    let registry: Registry;
    let metrics: SchedulerMetrics;

    beforeEach(() => {
        registry = new Registry();
        metrics = createSchedulerMetrics(registry, createManualClock(), () => 0);
    });

    async function linesOf(name: string): Promise<string[]> {
        const text = await registry.metrics();
        return text.split("\n").filter(line => line.startsWith(name));
    }

    // Guards against a zone that is shown as evacuated after its evacuation has ended.
    it("show the revision of each request until the evacuation has ended", async () => {
        metrics.zonesEvacuated(
            new Map([
                ["a", 7],
                ["b", 9],
            ]),
        );
        metrics.zonesEvacuated(new Map([["b", 9]]));
        expect(await linesOf("tanagerdeck_zone_evacuated")).to.deep.equal([
            'tanagerdeck_zone_evacuated{zone="b"} 9',
        ]);
    });

    it("count the tasks that still run there, and refused starts by reason", async () => {
        metrics.tasksInEvacuatedZones(4);
        metrics.startRefused("evacuated");
        metrics.startRefused("evacuated");
        expect(await linesOf("tanagerdeck_tasks_in_evacuated_zones")).to.deep.equal([
            "tanagerdeck_tasks_in_evacuated_zones 4",
        ]);
        expect(await linesOf("tanagerdeck_starts_refused_total")).to.deep.equal([
            'tanagerdeck_starts_refused_total{reason="evacuated"} 2',
        ]);
    });
});
