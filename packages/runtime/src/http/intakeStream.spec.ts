import { connect, type Socket } from "node:net";
import { once } from "node:events";
import { expect } from "chai";
import { openKeptConnection } from "@tanagerdeck/standins/network/keptConnection";
import { createInternalIntake, type Intake } from "../intake/intake.ts";
import type { ClosingCause, IntakeLimits } from "../intake/intakeTypes.ts";
import { readBody, sendJson, splitAddress, startListener, type Listener } from "./listener.ts";

const GET = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";
const LIMIT_MS = 5_000;
const BODY_LIMIT_BYTES = 262_144;

describe("a listener's connection", () => {
    let listener: Listener;
    let intake: Intake;
    let causes: ClosingCause[];
    let sockets: Socket[];
    let handled: number;
    /** Called for each request instead of an answer at once. */
    let beforeAnswer: () => Promise<void>;

    beforeEach(() => {
        causes = [];
        sockets = [];
        handled = 0;
        beforeAnswer = async () => {};
    });

    afterEach(async () => {
        for (const socket of sockets) {
            socket.destroy();
        }
        await listener.close();
    });

    async function start(limits: Partial<IntakeLimits> = {}): Promise<void> {
        intake = createInternalIntake(limits, cause => void causes.push(cause));
        const handle = async (request: Parameters<typeof readBody>[0]) => {
            handled++;
            const body = await readBody(request, BODY_LIMIT_BYTES);
            await beforeAnswer();
            return body;
        };
        listener = await startListener(
            "127.0.0.1:0",
            (request, response) =>
                void handle(request).then(
                    body =>
                        sendJson(response, body === undefined ? 413 : 200, { length: body?.length, body }),
                    () => undefined,
                ),
            intake,
        );
    }

    async function open(): Promise<{ socket: Socket; text: () => string; closed: Promise<unknown> }> {
        const socket = connect({ ...splitAddress(listener.address), noDelay: true });
        sockets.push(socket);
        let text = "";
        socket.on("data", chunk => (text += chunk.toString("latin1")));
        socket.on("error", () => undefined);
        const closed = new Promise(resolve => socket.once("close", resolve));
        await once(socket, "connect");
        return { socket, text: () => text, closed };
    }

    async function statusOf(request: string): Promise<number | string> {
        const connection = await openKeptConnection(listener.address);
        const reply = await connection.exchange(request, LIMIT_MS);
        connection.close();
        return reply.kind === "answered" ? reply.answer.status : reply.kind;
    }

    function headOf(bytes: number): string {
        const start = "GET / HTTP/1.1\r\nhost: test\r\nx: ";
        return `${start}${"a".repeat(bytes - start.length - 4)}\r\n\r\n`;
    }

    it("reads no further than the limit of unanswered requests, and answers all in the end", async () => {
        await start({ readAhead: 4 });
        let release = () => {};
        const released = new Promise<void>(resolve => (release = resolve));
        beforeAnswer = () => released;
        const { socket, text } = await open();
        socket.write(GET.repeat(500));
        await pause(200);
        expect(handled).to.equal(4);
        release();
        await pollUntil(() => text().split("200 OK").length === 501);
    });

    it("counts requests without a host, which Node would answer by itself", async () => {
        await start({ readAhead: 4 });
        beforeAnswer = () => pause(500);
        const { socket } = await open();
        socket.write(GET + "GET / HTTP/1.1\r\n\r\n".repeat(500));
        await pause(200);
        expect(intake.bytes).to.be.below(64 * 1024);
    });

    it("serves a head of exactly the limit and refuses a longer one with 431", async () => {
        await start();
        expect(await statusOf(headOf(16_384))).to.equal(200);
        expect(await statusOf(headOf(16_385))).to.equal(431);
        expect(causes).to.deep.equal(["head-size"]);
    });

    it("sends an error only after the answers to the requests before, which it would otherwise be taken for", async () => {
        await start();
        beforeAnswer = () => pause(200);
        const { socket, text, closed } = await open();
        socket.write(`${GET}${GET}nonsense\r\n\r\n`);
        await closed;
        expect(text().match(/HTTP\/1.1 \d+/g)).to.deep.equal([
            "HTTP/1.1 200",
            "HTTP/1.1 200",
            "HTTP/1.1 400",
        ]);
    });

    it("closes one whose head is not whole in time, and one whose body stops", async () => {
        await start({ headTimeoutMs: 300, stallTimeoutMs: 300 });
        const head = await open();
        head.socket.write("GET / HT");
        await head.closed;
        const body = await open();
        body.socket.write("POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 9\r\n\r\nabc");
        await body.closed;
        expect(causes).to.deep.equal(["head-timeout", "body-timeout"]);
    });

    it("closes one whose client does not read its answers", async function () {
        this.timeout(30_000);
        await start({ stallTimeoutMs: 500 });
        const { socket, closed } = await open();
        socket.pause();
        const body = "x".repeat(200_000);
        const request = `POST / HTTP/1.1\r\nhost: test\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
        for (let count = 0; count < 100; count++) {
            socket.write(request);
        }
        await pollUntil(() => causes.length > 0);
        socket.resume();
        await closed;
        expect(causes).to.deep.equal(["unread-answer"]);
    });

    it("closes an idle one after the time in force, with 1 s as a margin for the client", async () => {
        await start({ idleTimeoutMs: 1_500 });
        const { socket, text, closed } = await open();
        socket.write(GET);
        await pollUntil(() => text().includes("200 OK"));
        expect(text()).not.to.contain("timeout=5");
        await closed;
        expect(causes).to.deep.equal(["idle"]);
    });

    it("serves a body of the limit in chunks of one byte, and the request behind it", async function () {
        this.timeout(30_000);
        await start();
        const head = "POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n";
        const { socket, text } = await open();
        socket.write(`${head}${"1\r\nx\r\n".repeat(BODY_LIMIT_BYTES)}0\r\n\r\n${GET}`);
        await pollUntil(() => text().split("200 OK").length === 3, 20_000);
        expect(text()).to.contain(`{"length":${BODY_LIMIT_BYTES}`);
    });

    it("counts chunk extensions and trailers as bytes of the head", async () => {
        await start();
        const head = "POST / HTTP/1.1\r\nhost: test\r\ntransfer-encoding: chunked\r\n\r\n1\r\nx\r\n";
        expect(await statusOf(`${head}0\r\n${"a: b\r\n".repeat(5_000)}\r\n`)).to.equal(431);
    });

    it("keeps bodies apart although all connections read into one buffer", async () => {
        await start();
        const texts = ["a", "b", "c", "d"].map(letter => letter.repeat(50_000));
        const replies = texts.map(async body => {
            const connection = await openKeptConnection(listener.address);
            const head = `POST / HTTP/1.1\r\nhost: test\r\ncontent-length: ${body.length}\r\n\r\n`;
            const reply = connection.exchange(head + body.slice(0, 100), LIMIT_MS);
            for (let start = 100; start < body.length; start += 7_000) {
                await pause(1);
                connection.write(body.slice(start, start + 7_000));
            }
            const result = await reply;
            connection.close();
            return result.kind === "answered" && (JSON.parse(result.answer.body) as { body: string }).body;
        });
        expect(await Promise.all(replies)).to.deep.equal(texts);
    });

    it("closes stalled large bodies over the memory budget, without an answer, and serves an ordinary caller", async () => {
        await start({ memoryBytes: 2_000_000 });
        const crowd = await Promise.all(Array.from({ length: 30 }, open));
        for (const { socket } of crowd) {
            socket.write(
                `POST / HTTP/1.1\r\nhost: test\r\ncontent-length: 262144\r\n\r\n${"x".repeat(200_000)}`,
            );
        }
        expect(await statusOf(GET)).to.equal(200);
        await pollUntil(() => causes.length >= 20);
        expect(new Set(causes)).to.deep.equal(new Set(["memory"]));
        expect(intake.bytes).to.be.at.most(2_000_000);
        expect(crowd.map(({ text }) => text()).join("")).to.equal("");
    });

    it("takes a new connection in at the bound and closes the longest idle one", async () => {
        await start({ maxConnections: 3 });
        const first = await open();
        await pause(20);
        await Promise.all([open(), open()]);
        await pause(20);
        expect(await statusOf(GET)).to.equal(200);
        await first.closed;
        expect(causes).to.deep.equal(["connections"]);
    });
});

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}

async function pollUntil(test: () => boolean, limitMs = 10_000): Promise<void> {
    const endsAt = performance.now() + limitMs;
    while (!test()) {
        if (performance.now() > endsAt) {
            throw new Error("The condition did not become true in time.");
        }
        await pause(10);
    }
}
