import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { expect } from "chai";
import { pollUntil } from "./polling.ts";
import { createProcessGroup, type ProcessGroup } from "./processGroup.ts";
import { bundlePrograms } from "./programBundle.ts";

const ANY_PORT = "127.0.0.1:0";
const POLL_TIMEOUT_MS = 5_000;

describe("a group of child processes", () => {
    const programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
    let group: ProcessGroup;

    before(async () => {
        await bundlePrograms(programs);
    });
    beforeEach(() => {
        group = createProcessGroup({ programs });
    });
    afterEach(() => group.stopAll());
    after(() => rmSync(programs, { recursive: true, force: true }));

    function startPlatform() {
        return group.start("platform", { name: "platform", address: ANY_PORT, controlAddress: ANY_PORT });
    }

    describe("when a program starts", () => {
        it("knows its bound addresses, so that several runs can share one machine", async () => {
            const platform = await startPlatform();
            const response = await fetch(`http://${platform.addresses.controlAddress}/calls`);
            expect(await response.json()).to.deep.equal({});
        });

        it("rejects with the program's output if it exits before it is ready", async () => {
            const errorText = await group
                .start("tanagerdeck", { name: "broken" }, "entry")
                .then(() => "", String);
            expect(errorText).to.contain("exited with 2").and.to.contain("callerAddress");
        });
    });

    describe("when a process is stopped", () => {
        it("ends with code 0 on SIGTERM", async () => {
            const platform = await startPlatform();
            platform.signal("SIGTERM");
            expect(await platform.ended).to.equal(0);
        });

        it("answers nothing between SIGSTOP and SIGCONT", async () => {
            const platform = await startPlatform();
            const calls = `http://${platform.addresses.controlAddress}/calls`;
            platform.signal("SIGSTOP");
            const silent = await fetch(calls, { signal: AbortSignal.timeout(300) }).catch(() => undefined);
            expect(silent).to.equal(undefined);
            platform.signal("SIGCONT");
            await pollUntil(async () => (await fetch(calls)).ok, POLL_TIMEOUT_MS);
        });

        it("also ends processes that SIGSTOP has stopped, so that a failed test leaves none behind", async () => {
            const platform = await startPlatform();
            platform.signal("SIGSTOP");
            await group.stopAll();
            expect(platform.running()).to.equal(false);
        });
    });
});
