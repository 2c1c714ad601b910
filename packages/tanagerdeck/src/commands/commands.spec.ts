// Runs the commands against entries, an agent and stand-ins of the platform and a runner in this process.
import { expect } from "chai";
import { readFileSync } from "node:fs";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import {
    echoBehaviour,
    startRunnerStandin,
    type RunnerStandin,
} from "@tanagerdeck/standins/runner/runnerStandin";
import { startAgent } from "../agent/agentProcess.ts";
import { startEntry } from "../entry/entryProcess.ts";
import { agentSettingsSchema, entrySettingsSchema } from "../settings/settingsSchema.ts";
import { commands } from "./commands.ts";
import { exitCode, type CommandIo, type CommandOptions, type CommandResult } from "./commandTypes.ts";

const ANY_PORT = "127.0.0.1:0";
const PEER_TOKEN = "peer-token-for-tests";
const OPERATOR_TOKEN = "operator-token-for-tests";
const CALLER_TOKEN = "example-token-okahandja-counter-do-not-use";
const DOCUMENT = readFileSync("examples/okahandja.json", "utf8");
/** A drain must take effect everywhere within this time. */
const DRAIN_TIMEOUT_MS = 5_000;

describe("the commands", () => {
    let platform: PlatformStandin;
    let runner: RunnerStandin;
    let trial: RunningProcess;
    let production: RunningProcess;
    let agent: RunningProcess;
    const files = new Map<string, Buffer>();
    const io: CommandIo = {
        write: () => undefined,
        writeError: () => undefined,
        readFile(path) {
            const content = files.get(path);
            if (!content) {
                throw new Error("no such file");
            }
            return content;
        },
        environmentVariable: name => (name === "TANAGERDECK_TOKEN" ? CALLER_TOKEN : OPERATOR_TOKEN),
        newId: () => `change-${Math.random()}`,
    };

    before(async () => {
        platform = await startPlatformStandin(ANY_PORT);
        runner = await startRunnerStandin(ANY_PORT, echoBehaviour);
        trial = await startTestEntry("trial");
        production = await startTestEntry("production");
        agent = await startAgent(
            agentSettingsSchema.parse({
                ...common("runner-1", "trial"),
                seeds: [trial.addresses.peerAddress],
                server: { kind: "runner", address: runner.listener.address, slots: 8, connections: 64 },
            }),
        );
        files.set("document", Buffer.from(DOCUMENT));
        files.set(
            "other",
            Buffer.from(DOCUMENT.replace('"requestsPerSecond": 60', '"requestsPerSecond": 61')),
        );
        files.set("truncated", Buffer.from(DOCUMENT.slice(0, 500)));
        files.set("huge", Buffer.from(JSON.stringify({ kinds: "x".repeat(6_000_000) })));
        files.set("latin", Buffer.from([0x7b, 0xe9, 0x7d]));
        files.set("unknown-account", Buffer.from(DOCUMENT.replace('["counter"]', '["nobody"]')));
    });

    after(async () => {
        await agent.stop();
        await trial.stop();
        await production.stop();
        await runner.listener.close();
        await platform.listener.close();
    });

    function common(name: string, environment: string) {
        return {
            name,
            environment,
            region: "khomas",
            availabilityZone: "windhoek",
            peerAddress: ANY_PORT,
            metricsAddress: ANY_PORT,
            peerToken: PEER_TOKEN,
            logLevel: "error",
        };
    }

    function startTestEntry(environment: string): Promise<RunningProcess> {
        return startEntry(
            entrySettingsSchema.parse({
                ...common("entry-1", environment),
                callerAddress: ANY_PORT,
                operatorAddress: ANY_PORT,
                platformAddress: platform.listener.address,
                operatorToken: OPERATOR_TOKEN,
            }),
        );
    }

    function run(name: string, args: string[], options: CommandOptions = {}): Promise<CommandResult> {
        const entry = name === "submit" ? trial.addresses.callerAddress : trial.addresses.operatorAddress;
        return commands[name]!.run(args, { entry, ...options }, io);
    }

    async function expectExit(result: Promise<CommandResult>, code: number, detail: RegExp): Promise<void> {
        const ended = await result;
        expect(exitCode(ended), JSON.stringify(ended)).to.equal(code);
        expect(JSON.stringify(ended)).to.match(detail);
    }

    describe("given log files", () => {
        it("trace prints a job's log lines, and fails if no line names it", async () => {
            const fields = { name: "entry-1", level: 30, job: "aa", msg: "desk: A job was accepted." };
            files.set("log", Buffer.from(JSON.stringify({ ...fields, time: "2026-12-04T10:00:00.000Z" })));
            expect(await run("trace", ["aa", "log"])).to.include({
                kind: "done",
                text: "2026-12-04T10:00:00.000Z entry-1 desk: A job was accepted. job=aa",
            });
            await expectExit(run("trace", ["bb", "log"]), 3, /not-found/);
            await expectExit(run("trace", ["aa", "absent"]), 2, /cannot be read/);
        });
    });

    describe("before a document is accepted", () => {
        it("submit is refused, so that nothing runs without a configuration", () =>
            expectExit(run("submit", ["quote"], { body: "{}" }), 3, /no-configuration/));

        const refusedCases: [string, string, CommandOptions, number, RegExp][] = [
            ["a truncated document", "truncated", {}, 3, /cut off/],
            ["a huge document", "huge", {}, 3, /longer than|at most/],
            ["bytes that are not UTF-8", "latin", {}, 2, /not UTF-8/],
            ["an unknown account", "unknown-account", {}, 3, /clientAccounts\[0\].*nobody/],
            ["a stale revision", "document", { expectedRevision: "7" }, 3, /current revision is 0, not 7/],
            ["no expected revision", "document", { expectedRevision: undefined }, 2, /expected-revision/],
            ["a wrong address", "document", { entry: "localhost" }, 2, /--entry/],
            ["an entry that is down", "document", { entry: "127.0.0.1:1" }, 3, /ECONNREFUSED/],
        ];
        for (const [what, file, options, code, detail] of refusedCases) {
            it(`apply ends with ${code} for ${what} and changes nothing`, async () => {
                await expectExit(run("apply", [file], { expectedRevision: "0", ...options }), code, detail);
                await expectExit(run("history", []), 0, /"revisions":\[\]/);
            });
        }
    });

    describe("in the trial environment", () => {
        it("plan shows what would be added", () => expectExit(run("plan", ["document"]), 0, /added/));

        it("apply accepts the document once for one change id", async () => {
            const options = { expectedRevision: "0", changeId: "007" };
            await expectExit(run("apply", ["document"], options), 0, /"revision":1/);
            await expectExit(run("apply", ["document"], options), 0, /"revision":1/);
            await expectExit(run("apply", ["other"], options), 3, /conflict/);
            await expectExit(run("history", []), 0, /"changeId":"007"/);
        });

        it("status shows the agent and its revision", () =>
            pollUntil(async () => {
                const result = await run("status", []);
                return /"runner-1","state":"serving".*"configurationRevision":1/.test(JSON.stringify(result));
            }, 17_000));

        it("submit prints the whole answer", () =>
            expectExit(run("submit", ["quote"], { body: '{"ms":1}' }), 0, /echo/));

        it("usage shows complete totals from the platform", () =>
            expectExit(run("usage", []), 0, /"complete":true/));

        it("apply is accepted if the platform's reply is lost, since the entry reads the result back", async () => {
            platform.faults.mode = "lose-write-reply";
            await expectExit(run("apply", ["other"], { expectedRevision: "1" }), 0, /"revision":2/);
            platform.faults.mode = "normal";
        });

        it("apply ends with 4 and a change id while the platform is down", async () => {
            platform.faults.mode = "down";
            const options = { expectedRevision: "2", changeId: "c-3" };
            await expectExit(run("apply", ["document"], options), 4, /--change-id c-3/);
            platform.faults.mode = "normal";
            await expectExit(run("apply", ["document"], options), 0, /"revision":3/);
        });
    });

    describe("promotion", () => {
        function promote(file: string): Promise<CommandResult> {
            const from = trial.addresses.operatorAddress;
            const to = production.addresses.operatorAddress;
            return run("promote", [file], { from, to, expectedRevision: "0" });
        }

        it("refuses bytes that are not in force in the trial environment", () =>
            expectExit(promote("other"), 3, /conflict/));

        it("accepts the same bytes with the same digest", async () => {
            await expectExit(promote("document"), 0, /"revision":1/);
            const digests = [];
            for (const entry of [trial, production]) {
                const result = await run("status", [], { entry: entry.addresses.operatorAddress });
                digests.push(/"digest":"([0-9a-f]{64})"/.exec(JSON.stringify(result))?.[1]);
            }
            expect(digests[0]).to.be.a("string").and.equal(digests[1]);
        });
    });

    describe("drain", () => {
        it("of an unknown agent is refused", () =>
            expectExit(run("drain", ["nobody"]), 3, /there is no agent/i));

        it("takes effect within 5 s", async () => {
            await expectExit(run("drain", ["runner-1"]), 0, /"draining":true/);
            await pollUntil(async () => {
                const result = await run("submit", ["quote"], { body: "{}" });
                return exitCode(result) === 3;
            }, DRAIN_TIMEOUT_MS);
            const status = await run("status", []);
            expect(JSON.stringify(status)).to.match(/"runner-1","state":"draining"/);
        });
    });

    describe("with a wrong token", () => {
        it("ends with 3 and shows no token", async () => {
            const wrongTokenIo = { ...io, environmentVariable: () => "some-other-token" };
            const options = { entry: trial.addresses.operatorAddress };
            const result = await commands.status!.run([], options, wrongTokenIo);
            expect(exitCode(result)).to.equal(3);
            expect(JSON.stringify(result)).to.not.include("some-other-token");
        });
    });
});
