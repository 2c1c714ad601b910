import { expect } from "chai";
import { request } from "undici";
import type { WorkerHeartbeat } from "@tanagerdeck/backend/agent/workerPort";
import type { Leave } from "@tanagerdeck/platform/registration/heartbeatCodec";
import { startRegistrationListener } from "@tanagerdeck/platform/registration/registrationListener";
import type { Listener } from "@tanagerdeck/runtime/http/listener";
import { noopLog } from "@tanagerdeck/runtime/log/log";

/** Guards against one odd heartbeat of another writer that hides or replaces those of the worker. */
describe("the listener for heartbeats", () => {
    const WALL_MS = 1_790_000_000_000;
    const heartbeat = {
        service: "desk",
        address: "10.1.0.9:8642",
        zone: "zone",
        version: "v1",
        slots: 8,
        state: "ready",
        cold_remaining_ms: 0,
        capacity: { cpu: 64_000, mem_mb: 128_000, gpu: 8 },
        labels: ["a", "r1"],
        clock_ms: 482_113,
        seq: 4,
        born: WALL_MS - 60_000,
    };
    let listener: Listener;
    let received: WorkerHeartbeat[];
    let leaves: Leave[];

    beforeEach(async () => {
        received = [];
        leaves = [];
        listener = await startRegistrationListener({
            address: "127.0.0.1:0",
            wallMs: () => WALL_MS,
            onHeartbeat: async one => void received.push(one),
            onLeave: async leave => void leaves.push(leave),
            log: noopLog,
        });
    });

    afterEach(() => listener.close());

    async function send(body: string, call = "Heartbeat"): Promise<number> {
        const url = `http://${listener.address}/v1/Instances.${call}/i-1`;
        const response = await request(url, { method: "POST", body });
        await response.body.dump();
        return response.statusCode;
    }

    it("acknowledges the worker's own heartbeat", async () => {
        expect(await send(JSON.stringify(heartbeat))).to.equal(200);
        expect(received).to.have.length(1);
    });

    it("passes on for how long the worker stays slow", async () => {
        expect(await send(JSON.stringify({ ...heartbeat, cold_remaining_ms: 1_500.5 }))).to.equal(200);
        expect(received[0]?.coldRemainingMs).to.equal(1_500.5);
    });

    // Guards against a worker that is lost to the scheduler because of a value that only orders workers.
    it("takes a time of slowness that cannot be read as absent", async () => {
        for (const odd of ["-1", '"soon"', "null", "{}", "1e300", "1e400"]) {
            received = [];
            const body = JSON.stringify({ ...heartbeat, cold_remaining_ms: "@" }).replace('"@"', odd);
            expect(await send(body)).to.equal(200);
            expect(received).to.have.length(1);
            expect(received[0]).to.include({ id: "i-1", sequence: 4, coldRemainingMs: undefined });
            expect(received[0]).to.have.property("coldRemainingMs");
        }
    });

    it("passes on which boot of the worker leaves", async () => {
        expect(await send("", "Leave")).to.equal(200);
        expect(await send(JSON.stringify({ born: WALL_MS }), "Leave")).to.equal(200);
        expect(leaves).to.deep.equal([{ id: "i-1" }, { id: "i-1", bornMs: WALL_MS }]);
    });

    it("refuses a leave message that cannot be read", async () => {
        for (const body of ["\u0000", '{"born":"now"}', "[]", '{"born":-1}']) {
            expect(await send(body, "Leave")).to.equal(400);
        }
        expect(leaves).to.deep.equal([]);
    });

    describe("when another writer sends an odd one", () => {
        const deep = `${"[".repeat(20_000)}${"]".repeat(20_000)}`;
        const text = (changes: object) => JSON.stringify({ ...heartbeat, ...changes });
        const odd: Record<string, string> = {
            "a very deeply nested field": text({ labels: "@" }).replace('"@"', deep),
            "a number beyond the range of doubles": text({ seq: "@" }).replace('"@"', "1e400"),
            "a sequence number that no later one exceeds": text({ seq: 1e300 }),
            "a start in the far future, which would replace every real boot": text({ born: 9e15 }),
            "a start after now": text({ born: WALL_MS + 3_600_000 }),
            "a start with a fraction": text({ born: WALL_MS - 0.5 }),
            "a capacity that no worker has": text({ capacity: { cpu: 1e300, mem_mb: 1, gpu: 8 } }),
            "a negative capacity": text({ capacity: { cpu: 1, mem_mb: 1, gpu: -8 } }),
            "a clock that never comes": text({ clock_ms: 1e300 }),
            "a port out of range": text({ address: "10.1.0.9:99999" }),
            "an address without a port": text({ address: "10.1.0.9" }),
            "an unknown state": text({ state: "odd" }),
            "a body that is not JSON": "\u0000",
        };
        for (const [name, body] of Object.entries(odd)) {
            it(`refuses it and goes on: ${name}`, async () => {
                expect(await send(body)).to.equal(400);
                expect(await send(JSON.stringify(heartbeat))).to.equal(200);
                expect(received).to.have.length(1);
            });
        }

        it("ignores deeply nested fields that it does not know", async () => {
            const body = text({ extra: "@" }).replace('"@"', deep);
            expect(await send(body)).to.equal(200);
            expect(await send(JSON.stringify(heartbeat))).to.equal(200);
        });
    });
});
