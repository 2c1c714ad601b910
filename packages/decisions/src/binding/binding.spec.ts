import { expect } from "chai";
import fc from "fast-check";
import type { Accelerator, Binding, ConfigurationDocument, Rack, Shape } from "../document/documentTypes.ts";
import { computeBindings } from "./bindingSearch.ts";
import { rebind } from "./rebinding.ts";

/** Racks small enough for the exhaustive search of `fits`. */
const arbitraryRacks = fc.array(
    fc.record({
        name: fc.constant(""),
        availabilityZone: fc.constantFrom("arima", "san-fernando"),
        workers: fc.integer({ min: 1, max: 2 }),
        acceleratorsPerWorker: fc.integer({ min: 1, max: 3 }),
    }),
    { minLength: 1, maxLength: 3 },
);
/** Infeasible only as a whole row: the demand of each pair of racks fits together with those of its neighbours. */
const OVERFULL_ROW: [Rack[], Shape[]] = [
    [1, 3, 3, 3, 1].map((acceleratorsPerWorker, position) => ({
        name: "",
        availabilityZone: position < 4 ? "arima" : "san-fernando",
        workers: 1,
        acceleratorsPerWorker,
    })),
    [4, 5, 2].map(accelerators => ({ span: "neighbouring-racks", accelerators })),
];
const arbitraryShapes = fc.array(
    fc.record({
        span: fc.constantFrom("worker" as const, "rack" as const, "neighbouring-racks" as const),
        accelerators: fc.integer({ min: 1, max: 4 }),
    }),
    { maxLength: 5 },
);

function documentOf(racks: Rack[], shapes: Shape[]): ConfigurationDocument {
    const quota = { accelerators: 100, requestsPerSecond: 1, waiting: 1 };
    return {
        clientAccounts: shapes.map((shape, index) => ({
            name: `account-${index}`,
            tokenDigests: [],
            guarantees: [shape],
            quota,
            weight: 1,
        })),
        kinds: [],
        racks: racks.map((rack, index) => ({ ...rack, name: `rack-${index}` })),
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: "serve",
    };
}

function allAccelerators(racks: Rack[]): Accelerator[] {
    return racks.flatMap(({ name, workers, acceleratorsPerWorker }) =>
        Array.from({ length: workers * acceleratorsPerWorker }, (_, position) => ({
            rack: name,
            slot: Math.floor(position / acceleratorsPerWorker),
            index: position % acceleratorsPerWorker,
        })),
    );
}

function isAdjacent(racks: Rack[], { span }: Shape, accelerators: Accelerator[]): boolean {
    const used = [...new Set(accelerators.map(({ rack }) => rack))];
    if (span === "worker") {
        return new Set(accelerators.map(({ rack, slot }) => `${rack}/${slot}`)).size === 1;
    }
    if (used.length === 1) {
        return true;
    }
    const zone = racks.find(({ name }) => name === used[0])!.availabilityZone;
    const names = racks.filter(rack => rack.availabilityZone === zone).map(({ name }) => name);
    const positions = used.map(name => names.indexOf(name)).sort((left, right) => left - right);
    return span !== "rack" && used.length === 2 && positions[0]! >= 0 && positions[1]! - positions[0]! === 1;
}

/** Reference search by brute force: assigns one accelerator after another and checks adjacency of each prefix. */
function fits(racks: Rack[], shapes: Shape[], free: Accelerator[], current: Accelerator[] = []): boolean {
    const [shape, ...others] = shapes;
    if (!shape) {
        return true;
    }
    if (current.length === shape.accelerators) {
        return fits(racks, others, free);
    }
    const tried = new Set<string>();
    return free.some(accelerator => {
        const key = `${accelerator.rack}/${accelerator.slot}`;
        const next = [...current, accelerator];
        if (tried.has(key) || !isAdjacent(racks, shape, next)) {
            return false;
        }
        tried.add(key);
        return fits(
            racks,
            shapes,
            free.filter(other => other !== accelerator),
            next,
        );
    });
}

function expectValidBindings(document: ConfigurationDocument, bindings: Binding[]): void {
    const keys = bindings.flatMap(binding => binding.accelerators.map(key => JSON.stringify(key)));
    expect(new Set(keys).size, "no accelerator in two bindings").to.equal(keys.length);
    for (const { shape, accelerators } of bindings) {
        expect(accelerators.length).to.equal(shape.accelerators);
        expect(isAdjacent(document.racks, shape, accelerators), "adjacent").to.equal(true);
    }
}

describe("binding", () => {
    describe("small racks", () => {
        it("guards against refusing shapes that fit and accepting ones that do not", () => {
            const property = fc.property(arbitraryRacks, arbitraryShapes, (racks, shapes) => {
                const document = documentOf(racks, shapes);
                const result = computeBindings(document);
                const all = allAccelerators(document.racks);
                const total = shapes.reduce((sum, { accelerators }) => sum + accelerators, 0);
                expect(result.isRight()).to.equal(total <= all.length && fits(document.racks, shapes, all));
                result.ifRight(bindings => expectValidBindings(document, bindings));
            });
            fc.assert(property, { numRuns: 600, seed: 20261204, examples: [OVERFULL_ROW] });
        });
    });

    describe("errors", () => {
        const racks = [{ name: "", availabilityZone: "arima", workers: 3, acceleratorsPerWorker: 8 }];

        it("guards against an error that does not name the account and the shape", () => {
            const document = documentOf(racks, [
                { span: "rack", accelerators: 16 },
                { span: "worker", accelerators: 9 },
            ]);
            const detail = computeBindings(document).swap().unsafeCoerce().detail;
            expect(detail).to.contain("account-1").and.to.contain("9 accelerators in one worker");
        });

        it("guards against reporting an unfinished search as infeasible", () => {
            const document = documentOf(racks, [{ span: "rack", accelerators: 16 }]);
            const failure = computeBindings(document, 0).swap().unsafeCoerce();
            expect(failure.reason).to.equal("limit-exceeded");
        });
    });

    describe("choice among places that fit", () => {
        it("guards against a binding that cuts into a pair of racks while a single rack is enough", () => {
            const zones = ["arima", "arima", "san-fernando"];
            const racks = zones.map(availabilityZone => ({
                name: "",
                availabilityZone,
                workers: 3,
                acceleratorsPerWorker: 8,
            }));
            const document = documentOf(racks, [{ span: "rack", accelerators: 24 }]);
            const [binding] = computeBindings(document).unsafeCoerce();
            expect(binding!.accelerators[0]!.rack).to.equal("rack-2");
        });
    });

    describe("loss of workers", () => {
        it("guards against moving other bindings and against binding an accelerator twice", () => {
            const lost = fc.array(fc.nat(100), { maxLength: 2 });
            const property = fc.property(arbitraryRacks, arbitraryShapes, lost, (racks, shapes, picks) => {
                const document = documentOf(racks, shapes);
                const all = allAccelerators(document.racks);
                const workers = picks.map(pick => all[pick % all.length]!);
                computeBindings(document).ifRight(bindings => {
                    const result = rebind(bindings, document, workers);
                    const isLost = ({ rack, slot }: Accelerator) =>
                        workers.some(worker => worker.rack === rack && worker.slot === slot);
                    expectValidBindings(document, result.bindings);
                    for (const [position, before] of bindings.entries()) {
                        const after = result.bindings[position]!;
                        const stays = !before.accelerators.some(isLost) || result.unplaced.includes(before);
                        expect(after === before).to.equal(stays);
                        expect(stays || !after.accelerators.some(isLost)).to.equal(true);
                    }
                });
            });
            fc.assert(property, { numRuns: 400, seed: 20261204 });
        });
    });
});
