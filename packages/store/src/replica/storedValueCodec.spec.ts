import { expect } from "chai";
import fc from "fast-check";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import type { Job } from "@tanagerdeck/decisions/job/jobTypes";
import type { Progress } from "@tanagerdeck/decisions/job/progressTypes";
import { decodeContent, encodeContent, type StoredContents } from "./storedValueCodec.ts";

describe("stored values", () => {
    const job: Job = jobOf("j", [stepOf({ count: 2, gang: true, dataRack: "r1", maxPerWorker: 1 })], {
        schedule: { firstDueMs: 5, intervalMs: 10, occurrences: 3 },
    });
    const progress: Progress = {
        begun: true,
        groups: {
            "0.0": {
                phase: "placed",
                run: 2,
                placements: [{ index: 0, worker: "a", boot: { id: "i", bornMs: 1 } }],
                failures: 1,
                failedRun: 1,
                saved: "0f",
            },
        },
    };
    const registration = { name: "e", address: "h:1", availabilityZone: "z", incarnation: "n" };
    const contents: StoredContents = {
        definition: job,
        cancel: { atMs: 1 },
        progress,
        "progress-part": { groups: progress.groups },
        registration,
        leader: registration,
        absences: { agents: { a: 2_500 } },
        speeds: { workers: { a: { boot: { id: "i-a", bornMs: 1 }, factor: 0.6, observations: 7 } } },
    };
    const kinds = Object.keys(contents) as (keyof StoredContents)[];

    describe("that this program wrote", () => {
        it("are decoded to the same content", () => {
            for (const kind of kinds) {
                const decoded = decodeContent(kind, encodeContent(kind, contents[kind], "w"));
                expect(decoded).to.deep.equal(contents[kind]);
            }
        });

        it("keep the placements of a large gang, which are stored as ranges", () => {
            const placements = Array.from({ length: 20_000 }, (_, index) => ({
                index,
                worker: `w${Math.floor(index / 700)}`,
                boot: { id: `i-${Math.floor(index / 700)}`, bornMs: 1 },
            }));
            const gang = { phase: "placed" as const, run: 1, failures: 0, failedRun: 0 };
            for (const kept of [placements, placements.filter(({ index }) => index % 3 !== 1)]) {
                const content = { begun: true, groups: { "0.0": { ...gang, placements: kept } } };
                const value = encodeContent("progress", content, "w");
                expect(value.length).to.be.below(1_048_576);
                expect(decodeContent("progress", value)).to.deep.equal(content);
            }
        });

        it("tell progress that is stored in parts from progress that lacks its groups", () => {
            const head = { begun: true, layout: "parts" as const };
            expect(decodeContent("progress", encodeContent("progress", head, "w"))).to.deep.equal(head);
            expect(decodeContent("progress", '{"write":"w","content":{"begun":true}}')).to.equal(undefined);
        });

        it("keep fields that a later release has added", () => {
            const later = { ...registration, region: "south" };
            expect(decodeContent("registration", encodeContent("registration", later, "w"))).to.deep.equal(
                later,
            );
        });
    });

    describe("that are malformed", () => {
        // Guards against a single bad entry that stops the planning of all jobs: a content of `null` or without
        // `groups` was taken for progress, and every scheduling round threw.
        it("are not decoded if the content is null or lacks a field", () => {
            for (const kind of kinds) {
                for (const value of ["", "7", "[]", '{"content":null}', '{"write":"w","content":{}}']) {
                    expect(decodeContent(kind, value), `${kind} ${value}`).to.equal(undefined);
                }
            }
        });

        // Guards against an odd range that would fill the memory.
        it("are not decoded as progress if they hold more placements than a job has tasks", () => {
            const range = '{"from":0,"to":9000000000000000,"worker":"w","boot":{"id":"i","bornMs":1}}';
            const fields = '"phase":"placed","run":1,"failures":0,"failedRun":0';
            const group = `{${fields},"placements":[${range}]}`;
            const value = `{"write":"w","content":{"begun":true,"groups":{"0.0":${group}}}}`;
            expect(decodeContent("progress", value)).to.equal(undefined);
        });

        // Guards against an odd registration of another writer: its address was called again and again.
        it("are not decoded as a registration if the address has no valid port", () => {
            for (const address of [
                "10.1.0.9:99999",
                "10.1.0.9:-1",
                "10.1.0.9:0",
                "10.1.0.9",
                ":80",
                "a b:80",
                "a/b:80",
            ]) {
                const value = encodeContent("registration", { ...registration, address }, "w");
                expect(decodeContent("registration", value), address).to.equal(undefined);
            }
        });

        it("never throw, whatever they hold", () => {
            const values = fc.oneof(
                fc.string({ unit: "binary" }),
                fc.json(),
                fc.json().map(content => `{"write":"w","content":${content}}`),
                fc.nat({ max: 400 }).map(length => encodeContent("progress", progress, "w").slice(0, length)),
                fc.nat({ max: 2_000 }).map(depth => "[".repeat(depth)),
            );
            fc.assert(
                fc.property(fc.constantFrom(...kinds), values, (kind, value) => {
                    decodeContent(kind, value);
                }),
                { seed: 19, numRuns: 500 },
            );
        });
    });
});
