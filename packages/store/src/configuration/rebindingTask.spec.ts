import { expect } from "chai";
import { Left, Right } from "purify-ts/Either";
import type { Binding, Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { createManualClock, type ManualClock } from "@tanagerdeck/runtime/clock/manualClock";
import { noopLog } from "@tanagerdeck/runtime/log/log";
import { createMemoryPlatform, type MemoryPlatform } from "@tanagerdeck/standins/platform/memoryPlatform";
import { acceptConfiguration, listHistory, readCurrent } from "./acceptedConfiguration.ts";
import { startRebindingTask, type Rebind } from "./rebindingTask.ts";

const ENVIRONMENT = "trial";

describe("rebinding", () => {
    let clock: ManualClock;
    let platform: MemoryPlatform;
    let configuration: Configuration;

    beforeEach(async () => {
        clock = createManualClock();
        platform = createMemoryPlatform(clock);
        configuration = {
            revision: 1,
            digest: "d",
            changeId: "c",
            document: document(),
            bindings: [binding(0)],
        };
        await acceptConfiguration(platform.connect().store, {
            environment: ENVIRONMENT,
            version: 0,
            configuration,
            cause: "applied",
            acceptedAt: 0,
        });
    });

    function start(entry: string, rebind: Rebind, agents: AgentView[]): void {
        const task = startRebindingTask({
            environment: ENVIRONMENT,
            entry,
            store: platform.connect().store,
            clock,
            log: noopLog,
            random: () => 0,
            rebind,
            onAccepted: () => undefined,
        });
        task.send({ kind: "configuration", configuration });
        task.send({ kind: "fleet", agents });
    }

    async function revisions(): Promise<string[]> {
        const records = await listHistory(platform.connect().store, ENVIRONMENT);
        return records.unsafeCoerce().map(({ revision, cause }) => `${revision} ${cause}`);
    }

    describe("when a bound worker is missing", () => {
        it("stores new bindings for the same document once, however many entries detect it", async () => {
            const rebind: Rebind = () => Right([binding(1)]);
            for (const entry of ["entry-1", "entry-2", "entry-3"]) {
                start(entry, rebind, [view(0, "gone"), view(1), view(2)]);
            }
            await clock.advance(90_000);
            expect(await revisions()).to.deep.equal(["1 applied", "2 rebound"]);
            const stored = (await readCurrent(platform.connect().store, ENVIRONMENT)).unsafeCoerce()!;
            expect(stored.configuration.bindings).to.deep.equal([binding(1)]);
            expect(stored.configuration.digest).to.equal("d");
        });

        it("treats a worker as missing that has not reported since the entry restarted", async () => {
            start("entry-1", () => Right([binding(1)]), [view(1), view(2)]);
            await clock.advance(55_000);
            expect(await revisions()).to.have.length(1);
            await clock.advance(20_000);
            expect(await revisions()).to.have.length(2);
        });

        it("keeps the bindings when they fit nowhere else", async () => {
            const refused = Left(failure("not-run", "infeasible", "No place."));
            start("entry-1", () => refused, [view(0, "gone"), view(1), view(2)]);
            await clock.advance(90_000);
            expect(await revisions()).to.have.length(1);
        });
    });

    describe("when no bound worker is known to be missing", () => {
        const cases: [string, AgentView[]][] = [
            ["a worker is suspect", [view(0, "suspect"), view(1), view(2)]],
            [
                "all workers of the availability zone are unreachable",
                [view(0, "unreachable"), view(1, "unreachable"), view(2, "unreachable")],
            ],
            ["most workers of the availability zone are unknown", [view(1)]],
            ["a worker without bound accelerators has gone", [view(0), view(1, "gone"), view(2)]],
        ];
        for (const [situation, agents] of cases) {
            it(`keeps the bindings while ${situation}`, async () => {
                start("entry-1", () => Right([binding(1)]), agents);
                await clock.advance(120_000);
                expect(await revisions()).to.have.length(1);
            });
        }
    });
});

function document(): Configuration["document"] {
    return {
        clientAccounts: [],
        kinds: [],
        racks: [{ name: "r1", availabilityZone: "windhoek", workers: 3, acceleratorsPerWorker: 8 }],
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "refuse",
    };
}

function binding(slot: number): Binding {
    const accelerators = [0, 1].map(index => ({ rack: "r1", slot, index }));
    return {
        clientAccount: "counter",
        guarantee: 0,
        shape: { span: "worker", accelerators: 2 },
        accelerators,
    };
}

function view(slot: number, state: AgentView["state"] = "serving"): AgentView {
    return {
        state,
        report: {
            name: `worker-${slot}`,
            incarnation: "one",
            sequence: 1,
            address: "10.0.0.1:1",
            availabilityZone: "windhoek",
            server: "worker",
            state: "serving",
            configurationRevision: 1,
            worker: { rack: "r1", slot, accelerators: [], recentOutcomes: [] },
            gangs: [],
            usage: [],
        },
    };
}
