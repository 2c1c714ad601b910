import { expect } from "chai";
import { readFileSync } from "node:fs";
import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";
import { checkDocument, documentDigest } from "./checkDocument.ts";
import { planDocument } from "./planDocument.ts";

const EXAMPLE = readFileSync("examples/okahandja.json", "utf8");

describe("checkDocument and planDocument", () => {
    describe("with one error", () => {
        const cases: [string, (document: ConfigurationDocument) => void, RegExp][] = [
            [
                "an unknown account",
                d => d.kinds[1]!.clientAccounts.push("nobody"),
                /^kinds\[1\]\.clientAccounts\[1\]: .*"nobody"/,
            ],
            [
                "a duplicate account",
                d => (d.clientAccounts[1]!.name = "counter"),
                /clientAccounts\[1\]\.name: "counter"/,
            ],
            ["a duplicate kind", d => (d.kinds[4]!.name = "quote"), /^kinds\[4\]\.name/],
            ["a duplicate rack", d => (d.racks[3]!.name = d.racks[0]!.name), /^racks\[3\]\.name/],
            [
                "guarantees over the quota",
                d => (d.clientAccounts[0]!.quota.accelerators = 7),
                /^clientAccounts\[0\]\.guarantees: .*8.*7/,
            ],
            [
                "a kind larger than any zone",
                d => (d.kinds[3]!.limits.accelerators = 49),
                /^kinds\[3\]\.limits\.accelerators: 49 .*48/,
            ],
            [
                "accelerators for a runner's kind",
                d => (d.kinds[0]!.limits.accelerators = 1),
                /^kinds\[0\]\.limits\.accelerators/,
            ],
            [
                "a gang without accelerators",
                d => (d.kinds[3]!.limits.accelerators = 0),
                /^kinds\[3\]\.limits\.accelerators/,
            ],
            [
                "a shared token",
                d => d.clientAccounts[1]!.tokenDigests.push(...d.clientAccounts[0]!.tokenDigests),
                /^clientAccounts\[1\]\.tokenDigests\[1\]/,
            ],
            [
                "guarantees that do not fit the racks together",
                d => {
                    for (const account of d.clientAccounts) {
                        account.guarantees = [{ span: "rack", accelerators: 24 }];
                        account.quota.accelerators = 24;
                    }
                    d.racks = d.racks.slice(0, 2);
                },
                /^client account [a-z-]+: guarantee 0 /,
            ],
            ["two weights of 0", d => (d.weights = { completionTime: 0, fragmentation: 0 }), /^weights:/],
            ["an unknown field", d => Object.assign(d, { environment: "trial" }), /environment/],
            [
                "a wrong type",
                d => Object.assign(d.racks[0]!, { workers: "3" }),
                /^racks\[0\]\.workers: .*"3"/,
            ],
        ];
        for (const [fault, change, expected] of cases) {
            it(`names the path of ${fault}`, () => {
                const document = JSON.parse(EXAMPLE) as ConfigurationDocument;
                change(document);
                const result = checkDocument(JSON.stringify(document));
                expect(result.swap().unsafeCoerce().detail).to.match(expected);
                expect(result.swap().unsafeCoerce().verdict).to.equal("not-run");
            });
        }

        it("reports text that is cut off or too long", () => {
            expect(checkDocument(EXAMPLE.slice(0, -3)).swap().unsafeCoerce().detail).to.include("cut off");
            const long = `${EXAMPLE}${" ".repeat(1_000_000)}`;
            expect(checkDocument(long).swap().unsafeCoerce().detail).to.include("at most 1000000");
        });
    });

    describe("with several errors", () => {
        it("reports all of them, so that one correction is enough", () => {
            const document = JSON.parse(EXAMPLE) as ConfigurationDocument;
            document.kinds[0]!.clientAccounts.push("nobody");
            document.weights = { completionTime: 0, fragmentation: 0 };
            expect(
                checkDocument(JSON.stringify(document)).swap().unsafeCoerce().detail.split("\n"),
            ).to.have.length(2);
        });
    });

    describe("the digest", () => {
        it("covers the exact bytes, so that a reformatted document is another one", () => {
            const compact = JSON.stringify(JSON.parse(EXAMPLE));
            expect(documentDigest(compact)).to.not.equal(documentDigest(EXAMPLE));
        });
    });

    describe("the plan", () => {
        it("names each changed path by account, and writes nothing", () => {
            const checked = checkDocument(EXAMPLE).unsafeCoerce();
            const current = { ...checked, revision: 4, changeId: "c" };
            const document = JSON.parse(EXAMPLE) as ConfigurationDocument;
            document.clientAccounts[1]!.quota.waiting = 7;
            document.kinds.pop();
            const { changes, currentRevision } = planDocument(
                JSON.stringify(document),
                current,
            ).unsafeCoerce();
            expect(currentRevision).to.equal(4);
            expect(changes.map(({ path, change }) => `${change} ${path}`)).to.deep.equal([
                "changed clientAccounts[fleet].quota.waiting",
                "removed kinds[fleet-model]",
            ]);
        });
    });
});
