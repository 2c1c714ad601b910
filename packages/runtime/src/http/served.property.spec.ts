import { expect } from "chai";
import fc from "fast-check";
import { connect, type Socket } from "node:net";
import { readBody, sendJson, splitAddress, startListener, type Listener } from "./listener.ts";

/** A request within the limits, and the answer that it must get. */
interface DrawnRequest {
    text: string;
    echo: Echo;
}

/** What the listener under test answers. */
interface Echo {
    method: string;
    path: string;
    body: string;
}

/** Bytes of several requests and the sizes of the pieces in which they are sent. */
interface DrawnConnection {
    requests: DrawnRequest[];
    /** Positions at which the bytes are cut, as fractions of their length. */
    cuts: number[];
    /** Whether each piece is sent in a turn of the event loop of its own, so that the listener reads it alone. */
    isPaced: boolean;
}

/** `max_body_bytes` of the platform. */
const BODY_LIMIT_BYTES = 262_144;
const ANSWERS_LIMIT_MS = 10_000;
const RUNS = 100;

const path = fc.stringMatching(/^\/[a-z0-9/]{0,30}$/);
/** Mostly short bodies; the text is ASCII, so that each character is a byte. */
const body = fc.oneof(
    { weight: 8, arbitrary: fc.string({ maxLength: 200 }) },
    { weight: 1, arbitrary: fc.string({ minLength: 1, maxLength: 1_000 }).map(text => text.repeat(60)) },
    { weight: 1, arbitrary: fc.constant("x".repeat(BODY_LIMIT_BYTES)) },
);
const fields = fc
    .array(fc.tuple(fc.stringMatching(/^x-[a-z]{1,12}$/), fc.stringMatching(/^[a-z0-9 ]{0,40}$/)), {
        maxLength: 12,
    })
    .map(pairs => pairs.map(([name, value]) => `${name}: ${value}\r\n`).join(""));
/** One header field that fills most of `max_header_bytes`, which is 16,384. */
const longField = fc.oneof(
    { weight: 9, arbitrary: fc.constant("") },
    {
        weight: 1,
        arbitrary: fc.integer({ min: 1, max: 15_000 }).map(length => `y: ${"v".repeat(length)}\r\n`),
    },
);
/** Sizes are used in turn until the body is complete. */
const chunkSizes = fc.array(fc.oneof(fc.constant(1), fc.integer({ min: 1, max: 70_000 })), {
    minLength: 1,
    maxLength: 8,
});
const extension = fc.constantFrom("", ";a", ";name=value", ';q="quoted text"');
const trailers = fc.constantFrom("", "x-trailer: end\r\n", "x-a: 1\r\nx-b: 2\r\n");

const getRequest = fc.tuple(path, fields, longField).map(([path, fields, longField]): DrawnRequest => ({
    text: `GET ${path} HTTP/1.1\r\nhost: test\r\n${fields}${longField}\r\n`,
    echo: { method: "GET", path, body: "" },
}));

const sizedRequest = fc
    .tuple(path, fields, longField, body)
    .map(([path, fields, longField, body]): DrawnRequest => ({
        text: `POST ${path} HTTP/1.1\r\nhost: test\r\n${fields}content-length: ${body.length}\r\n${longField}\r\n${body}`,
        echo: { method: "POST", path, body },
    }));

const chunkedRequest = fc
    .tuple(path, fields, body, chunkSizes, extension, trailers)
    .map(([path, fields, body, sizes, extension, trailers]): DrawnRequest => ({
        text: [
            `POST ${path} HTTP/1.1\r\nhost: test\r\n${fields}transfer-encoding: chunked\r\n\r\n`,
            ...chunks(body, sizes, extension),
            `0${extension}\r\n${trailers}\r\n`,
        ].join(""),
        echo: { method: "POST", path, body },
    }));

const drawnConnection: fc.Arbitrary<DrawnConnection> = fc.record({
    requests: fc.oneof(
        fc.array(fc.oneof(getRequest, sizedRequest, chunkedRequest), { minLength: 1, maxLength: 8 }),
        // More requests than a listener may read ahead.
        fc.array(getRequest, { minLength: 40, maxLength: 120 }),
    ),
    cuts: fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 60 }),
    isPaced: fc.boolean(),
});

/** Guards against a listener that loses, mixes up or refuses requests within the limits by how their bytes arrive. */
describe("a listener that reads requests in pieces", function () {
    this.timeout(120_000);
    let listener: Listener;

    before(async () => {
        listener = await startListener("127.0.0.1:0", (request, response) => {
            void readBody(request, BODY_LIMIT_BYTES).then(
                body => {
                    const { method, url: path } = request;
                    sendJson(response, body === undefined ? 413 : 200, { method, path, body });
                },
                () => undefined,
            );
        });
    });

    after(() => listener.close());

    it("answers each request with its whole body, in order", async () => {
        await fc.assert(
            fc.asyncProperty(drawnConnection, async drawn => {
                const answers = await exchange(listener.address, drawn);
                expect(answers).to.deep.equal(drawn.requests.map(({ echo }) => ({ status: 200, echo })));
            }),
            { numRuns: RUNS },
        );
    });
});

function chunks(body: string, sizes: number[], extension: string): string[] {
    const texts: string[] = [];
    for (let start = 0, turn = 0; start < body.length; turn++) {
        // A long body in one-byte chunks only would take seconds.
        const size = Math.max(sizes[turn % sizes.length]!, body.length > 10_000 && turn > 2_000 ? 1_000 : 1);
        const part = body.slice(start, start + size);
        texts.push(`${part.length.toString(16)}${extension}\r\n${part}\r\n`);
        start += size;
    }
    return texts;
}

/** Sends the requests on a new connection and returns as many answers, or those that came in time. */
async function exchange(address: string, { requests, cuts, isPaced }: DrawnConnection): Promise<unknown[]> {
    const { host, port } = splitAddress(address);
    const socket = connect({ host, port, noDelay: true });
    try {
        const answers = readAnswers(socket, requests.length);
        const bytes = Buffer.from(requests.map(({ text }) => text).join(""), "latin1");
        const positions = cuts.map(cut => Math.round(cut * bytes.length)).sort((one, other) => one - other);
        let start = 0;
        for (const end of [...positions, bytes.length]) {
            if (end > start) {
                socket.write(bytes.subarray(start, end));
                start = end;
            }
            if (isPaced) {
                await new Promise(resolve => setImmediate(resolve));
            }
        }
        return await answers;
    } finally {
        socket.destroy();
    }
}

function readAnswers(socket: Socket, count: number): Promise<unknown[]> {
    return new Promise(resolve => {
        const answers: unknown[] = [];
        let received = Buffer.alloc(0);
        const finish = () => {
            clearTimeout(timer);
            resolve(answers);
        };
        const timer = setTimeout(finish, ANSWERS_LIMIT_MS);
        socket.on("error", finish);
        socket.on("close", finish);
        socket.on("data", data => {
            received = Buffer.concat([received, data]);
            for (let end = answerEnd(received); end !== undefined; end = answerEnd(received)) {
                const [head, echo] = received.toString("latin1", 0, end).split("\r\n\r\n", 2);
                answers.push({ status: Number(head!.split(" ")[1]), echo: JSON.parse(echo!) as unknown });
                received = Buffer.from(received.subarray(end));
            }
            if (answers.length >= count) {
                finish();
            }
        });
    });
}

/** The end of the first answer, or undefined while it is incomplete. Every answer has a `content-length`. */
function answerEnd(received: Buffer): number | undefined {
    const headEnd = received.indexOf("\r\n\r\n");
    if (headEnd < 0) {
        return undefined;
    }
    const length = Number(/\r\ncontent-length: *(\d+)/i.exec(received.toString("latin1", 0, headEnd))![1]);
    return received.length < headEnd + 4 + length ? undefined : headEnd + 4 + length;
}
