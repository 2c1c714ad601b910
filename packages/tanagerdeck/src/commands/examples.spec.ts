// Guards the files in `examples/` against changes of the document and settings schemas.
import { expect } from "chai";
import { readFileSync } from "node:fs";
import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";
import { readSettings } from "@tanagerdeck/runtime/settings/settingsFile";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/settingsSchema.ts";
import { checkCommand } from "./checkCommand.ts";
import { processIo } from "./commandLine.ts";

describe("the examples", () => {
    for (const company of ["okahandja", "caroni"]) {
        describe(`the document of ${company}`, () => {
            const path = `examples/${company}.json`;

            it("passes check", async () => {
                const result = await checkCommand.run([path], {}, processIo);
                expect(result.kind, JSON.stringify(result)).to.equal("done");
            });

            it("declares four client accounts and racks of three workers with 8 accelerators", () => {
                const document = JSON.parse(readFileSync(path, "utf8")) as ConfigurationDocument;
                expect(document.clientAccounts).to.have.length(4);
                for (const rack of document.racks) {
                    expect([rack.workers, rack.acceleratorsPerWorker]).to.deep.equal([3, 8]);
                }
            });
        });
    }

    describe("the settings", () => {
        it("pass the schemas of their processes", () => {
            expect(readSettings("examples/entrySettings.json", entrySettingsSchema).isRight()).to.equal(true);
            for (const server of ["runner", "worker"]) {
                const path = `examples/${server}AgentSettings.json`;
                expect(readSettings(path, agentSettingsSchema).isRight()).to.equal(true);
            }
        });
    });
});
