import { expect } from "chai";
import { readFileSync } from "node:fs";
import { callEntry } from "@tanagerdeck/operator/client/operatorClient";
import type { EntryStatus } from "@tanagerdeck/operator/status/statusRoutes";
import type { RunningProcess } from "@tanagerdeck/runtime/process/runningProcess";
import { startPlatformStandin, type PlatformStandin } from "@tanagerdeck/standins/platform/platformStandin";
import { pollUntil } from "@tanagerdeck/standins/polling/pollUntil";
import { entrySettingsSchema } from "../settings/settingsSchema.ts";
import { startEntry } from "./entryProcess.ts";

const TOKEN = "token-for-the-entry-start";
const ANY_PORT = "127.0.0.1:0";
/** Specified time within which every process uses an accepted configuration. */
const IN_FORCE_LIMIT_MS = 17_000;

// Guards against an entry that cannot start, or takes work without a configuration, while the platform is down.
describe("the start of an entry", () => {
    let platform: PlatformStandin;
    let first: RunningProcess;
    const started: RunningProcess[] = [];

    before(async () => {
        platform = await startPlatformStandin(ANY_PORT);
        first = await startTestEntry("entry-1", []);
        const change = {
            text: readFileSync("examples/caroni.json", "utf8"),
            expectedRevision: 0,
            changeId: "c",
        };
        (await callOperatorRoute(first, "POST", "/v1/configuration", change)).unsafeCoerce();
        platform.faults.mode = "down";
    });

    after(async () => {
        for (const entry of started) {
            await entry.stop();
        }
        await platform.listener.close();
    });

    async function startTestEntry(name: string, seeds: (string | undefined)[]): Promise<RunningProcess> {
        const settings = entrySettingsSchema.parse({
            name,
            environment: "test",
            region: "north",
            availabilityZone: "arima",
            callerAddress: ANY_PORT,
            operatorAddress: ANY_PORT,
            peerAddress: ANY_PORT,
            metricsAddress: ANY_PORT,
            platformAddress: platform.listener.address,
            seeds,
            peerToken: TOKEN,
            operatorToken: TOKEN,
            logLevel: "error",
        });
        const entry = await startEntry(settings);
        started.push(entry);
        return entry;
    }

    function callOperatorRoute(entry: RunningProcess, method: "GET" | "POST", path: string, body?: object) {
        const address = entry.addresses.operatorAddress!;
        return callEntry({ address, token: TOKEN, method, path, body, timeoutMs: 5_000 });
    }

    async function configurationStatus(entry: RunningProcess): Promise<EntryStatus["configuration"]> {
        return ((await callOperatorRoute(entry, "GET", "/v1/status")).unsafeCoerce().value as EntryStatus)
            .configuration;
    }

    describe("while the platform is down", () => {
        it("fetches the configuration from another entry", async () => {
            const second = await startTestEntry("entry-2", [first.addresses.peerAddress]);
            await pollUntil(
                async () => (await configurationStatus(second)).revision === 1,
                IN_FORCE_LIMIT_MS,
            );
            expect(await configurationStatus(second)).to.include({ platformReachable: false });
        });

        it("refuses new work when it knows no other entry", async () => {
            const isolated = await startTestEntry("entry-3", []);
            const refused = { revision: 0, refusal: "no-configuration" };
            expect(await configurationStatus(isolated)).to.include(refused);
        });
    });

    describe("after the platform is reachable again", () => {
        it("confirms the configuration with the platform and registers", async () => {
            platform.faults.mode = "normal";
            for (const entry of started) {
                await pollUntil(async () => {
                    const { platformReachable, revision } = await configurationStatus(entry);
                    return platformReachable && revision === 1;
                }, IN_FORCE_LIMIT_MS);
            }
            await pollUntil(async () => {
                const status = (await callOperatorRoute(first, "GET", "/v1/status")).unsafeCoerce()
                    .value as EntryStatus;
                return status.entries.length === 2;
            }, IN_FORCE_LIMIT_MS);
        });
    });
});
