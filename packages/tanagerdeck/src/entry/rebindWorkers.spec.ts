import { expect } from "chai";
import type { Binding, Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import {
    acceptConfiguration,
    listHistory,
    readCurrent,
} from "@tanagerdeck/store/configuration/acceptedConfiguration";
import { startRebindingTask } from "@tanagerdeck/store/configuration/rebindingTask";
import { createManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { gangConfiguration } from "@tanagerdeck/standins/gang/gangConfiguration";
import { createMemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { rebindWorkers } from "./rebindWorkers.ts";

const ENVIRONMENT = "trial";

// Guards against a rebinding that stores one revision for each missing worker instead of one for all of them.
describe("rebinding in an entry", () => {
    describe("when several workers with bindings are missing", () => {
        it("moves all their bindings in one revision, not one for each worker", async () => {
            const clock = createManualClock();
            const { store } = createMemoryPlatform(clock).connect();
            const configuration: Configuration = {
                ...gangConfiguration(),
                bindings: [0, 1].map(createBinding),
            };
            const first = { environment: ENVIRONMENT, version: 0, configuration, acceptedAt: 0 };
            await acceptConfiguration(store, { ...first, cause: "applied" });
            const task = startRebindingTask({
                environment: ENVIRONMENT,
                entry: "entry-1",
                store,
                clock,
                log: noopLog,
                random: () => 0,
                rebind: rebindWorkers,
                onAccepted: () => undefined,
            });
            task.send({ kind: "configuration", configuration });
            task.send({ kind: "fleet", agents: [2, 3, 4, 5].map(createAgentView) });
            await clock.advance(120_000);
            const history = (await listHistory(store, ENVIRONMENT)).unsafeCoerce();
            expect(history.map(({ cause }) => cause)).to.deep.equal(["applied", "rebound"]);
            const current = (await readCurrent(store, ENVIRONMENT)).unsafeCoerce()!.configuration;
            const places = current.bindings.flatMap(({ accelerators }) => accelerators);
            expect(places.filter(({ rack, slot }) => rack === "rack-0" && slot < 2)).to.deep.equal([]);
            await task.stop();
        });
    });
});

function createBinding(slot: number): Binding {
    const accelerators = [0, 1].map(index => ({ rack: "rack-0", slot, index }));
    return {
        clientAccount: "owner",
        guarantee: slot,
        shape: { span: "worker", accelerators: 2 },
        accelerators,
    };
}

function createAgentView(position: number): AgentView {
    const rack = `rack-${Math.floor(position / 3)}`;
    return {
        state: "serving",
        report: {
            name: `agent-${position}`,
            incarnation: "one",
            sequence: 1,
            address: "",
            availabilityZone: "zone",
            server: "worker",
            state: "serving",
            configurationRevision: 1,
            worker: { rack, slot: position % 3, accelerators: [], recentOutcomes: [] },
            gangs: [],
            usage: [],
        },
    };
}
