import { expect } from "chai";
import fc from "fast-check";
import type { Reservation } from "../gang/gangTypes.ts";
import {
    closeAttempt,
    createAcceleratorLedger,
    isOwned,
    occupy,
    reserve,
    releaseAttempt,
} from "./acceleratorLedger.ts";
import type { AcceleratorLedger } from "./acceleratorLedgerTypes.ts";

const BOUND = ["owner", "owner", undefined, undefined];

describe("the accelerator ledger", () => {
    describe("when two schedulers ask for the same accelerator", () => {
        it("grants it to one of them, so that it is never reserved twice", () => {
            const first = reserve(createAcceleratorLedger(4), reservation("a/1", "a", [2, 3]), at(0));
            expect(first.kind).to.equal("granted");
            expect(reserve(first.ledger, reservation("b/1", "b", [3]), at(10)).kind).to.equal("refused");
        });

        it("grants it to the other after the first hold has expired", () => {
            const first = reserve(createAcceleratorLedger(4), reservation("a/1", "a", [2]), at(0));
            const second = reserve(first.ledger, reservation("b/1", "b", [2]), at(3_000));
            expect(second.kind).to.equal("granted");
            expect(occupy(second.ledger, { gang: "a/1", attempt: 1 }, 3_001)).to.equal(undefined);
        });
    });

    describe("when a task runs on borrowed accelerators", () => {
        it("lets only the owner preempt it, and keeps the accelerators for the owner", () => {
            const used = running("a/1", "a", [0]);
            expect(reserve(used, reservation("b/1", "b", [0]), at(1)).kind).to.equal("refused");
            const claim = reserve(used, reservation("owner/1", "owner", [0, 1]), at(1));
            expect(claim).to.deep.include({
                kind: "reclaiming",
                displaced: [{ gang: "a/1", attempt: 1 }],
            });
            const vacated = releaseAttempt(claim.ledger, { gang: "a/1", attempt: 1 });
            expect(reserve(vacated, reservation("b/1", "b", [0]), at(2)).kind).to.equal("refused");
            expect(reserve(vacated, reservation("owner/1", "owner", [0, 1]), at(2)).kind).to.equal("granted");
        });
    });

    describe("when a task runs on its own account's accelerators", () => {
        it("lets neither another job of the account nor a guaranteed reservation preempt it", () => {
            const used = running("owner/1", "owner", [0]);
            expect(reserve(used, reservation("owner/2", "owner", [0]), at(1)).kind).to.equal("refused");
            expect(reserve(used, { ...reservation("b/1", "b", [0]), guaranteed: true }, at(1)).kind).to.equal(
                "refused",
            );
        });
    });

    describe("when a message of a closed or older attempt arrives late", () => {
        it("refuses it, so that a job that was reported as not run cannot start", () => {
            const closed = closeAttempt(createAcceleratorLedger(4), { gang: "a/1", attempt: 2 }, 0);
            for (const attempt of [1, 2]) {
                const late = reserve(closed, { ...reservation("a/1", "a", [2]), attempt }, at(1));
                expect(late).to.deep.include({ kind: "refused", reason: "stale" });
            }
        });
    });

    describe("in any sequence of operations", () => {
        it("changes a use only by releasing it, and preempts only borrowed uses", () => {
            const operation = fc.record({
                kind: fc.constantFrom("reserve", "occupy", "close", "vacate"),
                account: fc.constantFrom("owner", "a", "b"),
                attempt: fc.integer({ min: 1, max: 3 }),
                indexes: fc.uniqueArray(fc.integer({ min: 0, max: 3 }), { minLength: 1 }),
                guaranteed: fc.boolean(),
                step: fc.integer({ min: 0, max: 2_000 }),
            });
            fc.assert(
                fc.property(fc.array(operation, { maxLength: 40 }), operations => {
                    let ledger: AcceleratorLedger = createAcceleratorLedger(4);
                    let now = 0;
                    for (const { kind, account, attempt, indexes, guaranteed, step } of operations) {
                        now += step;
                        const before = ledger;
                        const reference = { gang: `${account}/1`, attempt };
                        if (kind === "reserve") {
                            const full = {
                                ...reservation(`${account}/1`, account, indexes),
                                attempt,
                                guaranteed,
                            };
                            const result = reserve(ledger, full, at(now));
                            for (const lost of result.kind === "reclaiming" ? result.displaced : []) {
                                for (const index of indexes) {
                                    const { use } = before.slots[index]!;
                                    const own = use?.gang === reference.gang && use.attempt < attempt;
                                    const displaced = use?.gang === lost.gang;
                                    expect(displaced && !own && isOwned(use, index, BOUND)).to.equal(false);
                                }
                            }
                            ledger = result.ledger;
                        } else if (kind === "occupy") {
                            ledger = occupy(ledger, reference, now) ?? ledger;
                        } else if (kind === "close") {
                            ledger = closeAttempt(ledger, reference, now);
                        } else {
                            ledger = releaseAttempt(ledger, reference);
                            continue;
                        }
                        for (const [index, slot] of before.slots.entries()) {
                            if (slot.use) {
                                expect(ledger.slots[index]!.use).to.equal(slot.use);
                            }
                        }
                    }
                }),
                { seed: 20_260, numRuns: 500 },
            );
        });
    });
});

function reservation(gang: string, clientAccount: string, indexes: number[]): Reservation {
    return {
        gang,
        attempt: 1,
        clientAccount,
        indexes,
        guaranteed: false,
        holdMs: 3_000,
        configurationRevision: 1,
    };
}

function at(now: number) {
    return { now, bound: BOUND };
}

function running(gang: string, clientAccount: string, indexes: number[]): AcceleratorLedger {
    const held = reserve(createAcceleratorLedger(4), reservation(gang, clientAccount, indexes), at(0)).ledger;
    return occupy(held, { gang, attempt: 1 }, 0)!;
}
