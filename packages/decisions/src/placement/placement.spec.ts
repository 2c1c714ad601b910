import { expect } from "chai";
import fc from "fast-check";
import { computeBindings } from "../binding/bindingSearch.ts";
import type { Accelerator, ConfigurationDocument, Shape } from "../document/documentTypes.ts";
import type { AcceleratorState } from "../fleet/reportTypes.ts";
import { choosePlacement } from "./choosePlacement.ts";
import { indexPlacement, type PlacementIndex } from "./placementIndex.ts";
import type { Placement, Stage, WorkerView } from "./placementTypes.ts";

const OWN_STAGES: Stage[] = [["own", "own-lent-out"]];
const GUARANTEES: Record<string, Shape[]> = {
    forecasts: [{ span: "neighbouring-racks", accelerators: 9 }],
    routes: [
        { span: "rack", accelerators: 4 },
        { span: "worker", accelerators: 2 },
        { span: "worker", accelerators: 4 },
    ],
    scans: [],
};

function documentOf(guarantees: Record<string, Shape[]>, quota: number): ConfigurationDocument {
    return {
        clientAccounts: Object.entries(guarantees).map(([name, shapes]) => ({
            name,
            tokenDigests: [],
            guarantees: shapes,
            quota: { accelerators: quota, requestsPerSecond: 1, waiting: 1 },
            weight: 1,
        })),
        kinds: [],
        racks: ["a", "b", "c"].map(name => ({
            name,
            availabilityZone: name === "c" ? "san-fernando" : "arima",
            workers: 2,
            acceleratorsPerWorker: 4,
        })),
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "serve",
    };
}

function indexOf(document: ConfigurationDocument): PlacementIndex {
    return indexPlacement({ document, bindings: computeBindings(document).unsafeCoerce() });
}

function freeWorkers(document: ConfigurationDocument): WorkerView[] {
    return document.racks.flatMap(({ name, availabilityZone, workers, acceleratorsPerWorker }) =>
        Array.from({ length: workers }, (_, slot) => ({
            agent: `${name}-${slot}`,
            address: "",
            availabilityZone,
            rack: name,
            slot,
            accelerators: Array.from({ length: acceleratorsPerWorker }, (): AcceleratorState => ({
                kind: "free",
            })),
            usable: true,
        })),
    );
}

/** Simulated fleet with the rule of the ledger: a used accelerator is reclaimable unless it is bound to its user. */
interface Fleet {
    workers: WorkerView[];
    index: PlacementIndex;
    gangs: Placement[];
}

function newFleet(document: ConfigurationDocument, index = indexOf(document)): Fleet {
    return { workers: freeWorkers(document), index, gangs: [] };
}

function placeGang(
    fleet: Fleet,
    clientAccount: string,
    shape: Shape,
    preference?: Stage[],
): Placement | undefined {
    const placement = choosePlacement({ clientAccount, shape }, fleet.workers, fleet.index, preference);
    const displaced = placement?.displaced ?? [];
    for (const gang of [...fleet.gangs]) {
        const uses = (agent: string, index: number) =>
            gang.members.some(member => member.agent === agent && member.indexes.includes(index));
        if (displaced.some(({ agent, index }) => uses(agent, index))) {
            endGang(fleet, fleet.gangs.indexOf(gang));
        }
    }
    for (const { rack, slot, index } of placement ? acceleratorsOf(placement) : []) {
        const worker = workerAt(fleet, rack, slot);
        expect(worker.accelerators[index]!.kind, "only free or displaced accelerators").to.equal("free");
        const binding = fleet.index.racks[fleet.index.rackPositions.get(rack)!]!.bound[slot]![index];
        const owner = binding === undefined ? undefined : fleet.index.bindings[binding]!.clientAccount;
        worker.accelerators[index] = { kind: "used", clientAccount, reclaimable: owner !== clientAccount };
    }
    fleet.gangs.push(...(placement ? [placement] : []));
    return placement;
}

function endGang(fleet: Fleet, position: number): void {
    const [gang] = fleet.gangs.splice(position % Math.max(1, fleet.gangs.length), 1);
    for (const { rack, slot, index } of gang ? acceleratorsOf(gang) : []) {
        workerAt(fleet, rack, slot).accelerators[index] = { kind: "free" };
    }
}

function workerAt({ workers }: Fleet, rack: string, slot: number): WorkerView {
    return workers.find(worker => worker.rack === rack && worker.slot === slot)!;
}

function acceleratorsOf({ members }: Placement): Accelerator[] {
    return members.flatMap(({ rack, slot, indexes }) => indexes.map(index => ({ rack, slot, index })));
}

/** Expects that all unused guarantees can be placed together, and that this displaces only borrowed tasks. */
function expectGuarantees(original: Fleet): void {
    const { index } = original;
    const fleet = { ...structuredClone({ workers: original.workers, gangs: original.gangs }), index };
    const unused = index.bindings.filter(({ clientAccount, accelerators }) =>
        accelerators.every(({ rack, slot, index: position }) => {
            const state = workerAt(original, rack, slot).accelerators[position]!;
            return state.kind === "free" || state.clientAccount !== clientAccount;
        }),
    );
    for (const { clientAccount, shape } of unused) {
        const before = structuredClone(fleet.workers);
        const placement = placeGang(fleet, clientAccount, shape, OWN_STAGES);
        expect(placement, `${clientAccount} obtains ${JSON.stringify(shape)}`).not.to.equal(undefined);
        expectAdjacent(shape, placement!);
        for (const { agent, index: position, clientAccount: borrower } of placement!.displaced!) {
            const state = before.find(worker => worker.agent === agent)!.accelerators[position];
            expect(state).to.deep.equal({ kind: "used", clientAccount: borrower, reclaimable: true });
            expect(borrower).not.to.equal(clientAccount);
        }
    }
}

function expectAdjacent({ span, accelerators }: Shape, { members }: Placement): void {
    const racks = [...new Set(members.map(({ rack }) => rack))].sort().join("");
    expect(members.reduce((sum, { indexes }) => sum + indexes.length, 0)).to.equal(accelerators);
    expect(members.length === 1 || span !== "worker").to.equal(true);
    expect(racks.length === 1 || (span === "neighbouring-racks" && racks === "ab")).to.equal(true);
    expect(members.map(({ agent }) => agent)).to.deep.equal(members.map(({ agent }) => agent).sort());
}

const step = fc.record({
    kind: fc.constantFrom("place" as const, "place" as const, "claim" as const, "end" as const),
    clientAccount: fc.constantFrom(...Object.keys(GUARANTEES)),
    span: fc.constantFrom("worker" as const, "rack" as const, "neighbouring-racks" as const),
    number: fc.integer({ min: 1, max: 6 }),
});

describe("placement", () => {
    describe("any sequence of placements, borrowings, reclaims and ends", () => {
        it("guards against a guaranteed shape that its account cannot reclaim", () => {
            const document = documentOf(GUARANTEES, 12);
            const index = indexOf(document);
            const property = fc.property(fc.array(step, { maxLength: 25 }), steps => {
                const fleet = newFleet(document, index);
                for (const { kind, clientAccount, span, number } of steps) {
                    const guarantee = GUARANTEES[clientAccount]![number % 3];
                    if (kind === "end") {
                        endGang(fleet, number);
                    } else {
                        const shape = kind === "claim" ? guarantee : { span, accelerators: number };
                        const placement =
                            shape &&
                            placeGang(fleet, clientAccount, shape, kind === "claim" ? OWN_STAGES : undefined);
                        if (placement) {
                            expectAdjacent(shape, placement);
                        }
                    }
                    expectGuarantees(fleet);
                }
            });
            fc.assert(property, { numRuns: 400, seed: 20261204 });
        });
    });

    describe("preference", () => {
        const document = documentOf({ routes: [{ span: "rack", accelerators: 8 }], scans: [] }, 24);
        const whole: Shape = { span: "rack", accelerators: 8 };

        it("guards against borrowing while unbound accelerators are free", () => {
            const fleet = newFleet(document);
            const bound = fleet.index.bindings[0]!.accelerators[0]!.rack;
            expect(placeGang(fleet, "scans", whole)!.members[0]!.rack).not.to.equal(bound);
            expect(placeGang(fleet, "scans", whole)!.members[0]!.rack).not.to.equal(bound);
            expect(placeGang(fleet, "scans", whole)!.members[0]!.rack).to.equal(bound);
        });

        it("guards against a reclaim that hides whose tasks it displaces", () => {
            const fleet = newFleet(document);
            for (let gang = 0; gang < 3; gang++) {
                placeGang(fleet, "scans", whole);
            }
            const placement = placeGang(fleet, "routes", whole)!;
            expect(placement).to.include({ tenure: "owned", reclaims: true });
            expect(placement.displaced!.map(({ clientAccount }) => clientAccount)).to.deep.equal(
                Array.from({ length: 8 }, () => "scans"),
            );
        });

        it("guards against exceeding the quota by borrowing, and against a quota that stops a guaranteed claim", () => {
            const fleet = newFleet(documentOf({ routes: [whole] }, 8));
            expect(placeGang(fleet, "routes", whole)!.tenure).to.equal("borrowed");
            expect(placeGang(fleet, "routes", whole)!.tenure).to.equal("owned");
            expect(placeGang(fleet, "routes", { span: "worker", accelerators: 1 })).to.equal(undefined);
        });

        it("guards against cutting into a whole worker while a part of another one is enough", () => {
            const fleet = newFleet(document);
            workerAt(fleet, "c", 1).accelerators.fill({ kind: "held", clientAccount: "scans" }, 0, 2);
            for (const worker of fleet.workers.filter(({ rack }) => rack !== "c")) {
                worker.usable = false;
            }
            const placement = placeGang(fleet, "scans", { span: "worker", accelerators: 2 })!;
            expect(placement.members[0]!.agent).to.equal("c-1");
        });

        it("guards against cutting into the widest free pair while a single rack is enough", () => {
            const placement = placeGang(newFleet(documentOf({ scans: [] }, 24)), "scans", whole)!;
            expect(placement.members[0]!.rack).to.equal("c");
        });

        it("guards against a claim that takes the binding of another guarantee", () => {
            const shapes: Shape[] = [
                { span: "worker", accelerators: 4 },
                { span: "rack", accelerators: 4 },
                { span: "neighbouring-racks", accelerators: 4 },
            ];
            const racksOfShape = ["cccc", "aaaa", "abab"];
            const threeShapes = documentOf({ routes: shapes }, 8);
            const bindings = shapes.map((shape, guarantee) => ({
                clientAccount: "routes",
                guarantee,
                shape,
                accelerators: [...racksOfShape[guarantee]!].map((rack, position) => {
                    const slot = guarantee === 1 ? position % 2 : guarantee / 2;
                    return { rack, slot, index: position };
                }),
            }));
            for (const order of [
                [0, 1, 2],
                [2, 1, 0],
                [1, 2, 0],
                [1, 0, 2],
            ]) {
                const fleet = newFleet(threeShapes, indexPlacement({ document: threeShapes, bindings }));
                for (const guarantee of order) {
                    expect(placeGang(fleet, "routes", shapes[guarantee]!, OWN_STAGES)).not.to.equal(
                        undefined,
                    );
                }
            }
        });

        it("guards against displacing a hold of the own account or a task that is not reclaimable", () => {
            for (const state of [
                { kind: "held", clientAccount: "routes" } as const,
                { kind: "used", clientAccount: "scans", reclaimable: false } as const,
            ]) {
                const fleet = newFleet(document);
                for (const worker of fleet.workers) {
                    worker.accelerators.fill(state, 0, 1);
                }
                expect(placeGang(fleet, "routes", whole, OWN_STAGES)).to.equal(undefined);
            }
        });
    });
});
