import { FIXTURE } from "../emulator/entryFixture.ts";
import type { CrowdKind } from "./crowd.ts";

/** Bytes of one write. All members write the same buffers, so that a crowd needs little memory of its own. */
const WRITE_BYTES = 16 * 1024;
const FILLER = Buffer.alloc(WRITE_BYTES, "x");
/** `max_body_bytes` of the emulated manifests. */
export const BODY_LIMIT_BYTES = 262_144;

/** Request line and headers of a submission, without the empty line. */
export const SUBMISSION_HEAD = [
    `POST /${FIXTURE.queue}/00000000000000c0 HTTP/1.1`,
    `host: ${FIXTURE.host}`,
    `authorization: Bearer ${FIXTURE.key}`,
    "content-type: application/json",
    "",
].join("\r\n");
const QUERY = [
    `GET /${FIXTURE.queue}/00000000000000c1 HTTP/1.1`,
    `host: ${FIXTURE.host}`,
    `authorization: Bearer ${FIXTURE.key}`,
    "\r\n",
].join("\r\n");

/** Requests without `Host` or without a key; an HTTP/1.0 client may leave `Host` out and keep its connection. */
const BARE_REQUESTS = [
    "GET / HTTP/1.1\r\n\r\n",
    "GET / HTTP/1.0\r\nconnection: keep-alive\r\n\r\n",
    `GET /${FIXTURE.queue}/00000000000000c1 HTTP/1.1\r\nhost: ${FIXTURE.host}\r\n\r\n`,
];

/** Input that is no HTTP, contradicts itself, or asks for what the listeners do not offer. */
const MALFORMED = [
    "\u0016\u0003\u0001\u0002\u0000\u0001\u0000\u0001\u00fc\u0003\u0003",
    "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    "\r\n\r\n\r\nGET\r\n\r\n",
    "GET / HTTP/9.9\r\nhost: a\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: a\r\nhost: b\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: a\r\nno colon\r\n\r\n",
    "GET / HTTP/1.1\r\nhost: a\r\nname: a\u0000b\r\n\r\n",
    "GET http://[ HTTP/1.1\r\nhost: [\r\n\r\n",
    "GET %%%00?\u00ff\u00fe HTTP/1.1\r\nhost: a\r\n\r\n",
    "CONNECT a:1 HTTP/1.1\r\nhost: a\r\n\r\nabc",
    "GET / HTTP/1.1\r\nhost: a\r\nconnection: upgrade\r\nupgrade: websocket\r\n\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\nexpect: 100-continue\r\ncontent-length: 9\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\nexpect: other\r\ncontent-length: 9\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: -1\r\n\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 99999999999999999999999\r\n\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 1\r\ncontent-length: 2\r\n\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: gzip\r\n\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\nffffffffffffffffff\r\nabc",
    "POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n1\r\nabc\r\n",
    `GET / HTTP/1.1\r\nhost: a\r\nname: ${"x".repeat(20_000)}\r\n\r\n`,
    `GET /${"x".repeat(20_000)} HTTP/1.1\r\nhost: a\r\n\r\n`,
].map(text => Buffer.from(text, "latin1"));

/** Bodies that are no JSON, or JSON of a form that no call expects. */
const WRONG_BODIES = [
    "",
    "null",
    "{}",
    "[[]]",
    '"text"',
    "1e999",
    "{",
    "\u0000",
    '{"key":7,"value":{}}',
    `${"[".repeat(10_000)}${"]".repeat(10_000)}`,
];

/** Sends requests without reading an answer: `count` queries on each connection. */
export function sentAhead(count: number): CrowdKind {
    return repeatedRequests([QUERY], count);
}

/** As `sentAhead`, with requests that lack the usual headers. */
export function bareRequests(count: number): CrowdKind {
    return repeatedRequests(BARE_REQUESTS, count);
}

function repeatedRequests(texts: string[], count: number): CrowdKind {
    const blocks = texts.map(text => {
        const perBlock = Math.floor(WRITE_BYTES / text.length);
        return { data: Buffer.from(text.repeat(perBlock)), times: Math.ceil(count / perBlock) };
    });
    return async member => {
        const { data, times } = blocks[member.index % blocks.length]!;
        await member.write(data, times);
    };
}

/** Sends a body of `bytes` in one-byte chunks and never ends it. `head` is the request without the empty line. */
export function tinyChunks(bytes: number, head = SUBMISSION_HEAD): CrowdKind {
    const start = chunkedHead(head);
    const perBlock = 2_500;
    const block = Buffer.from("1\r\nx\r\n".repeat(perBlock));
    return async member => {
        member.read();
        await member.write(start);
        await member.write(block, Math.floor(bytes / perBlock));
    };
}

/** Sends a body just below the limit in chunks of 16 KB and never ends it. */
export function largeChunks(head = SUBMISSION_HEAD, bytes = BODY_LIMIT_BYTES): CrowdKind {
    const start = chunkedHead(head);
    const chunk = Buffer.concat([
        Buffer.from(`${WRITE_BYTES.toString(16)}\r\n`),
        FILLER,
        Buffer.from("\r\n"),
    ]);
    return async member => {
        member.read();
        await member.write(start);
        await member.write(chunk, Math.floor(bytes / WRITE_BYTES) - 1);
    };
}

/** Sends all but the last byte of a body of the greatest length, by `content-length` and as one chunk in turn. */
export function stalledBodies(head = SUBMISSION_HEAD, bytes = BODY_LIMIT_BYTES): CrowdKind {
    const starts = [
        Buffer.from(`${head}content-length: ${bytes}\r\n\r\n`),
        Buffer.concat([chunkedHead(head), Buffer.from(`${bytes.toString(16)}\r\n`)]),
    ];
    const last = FILLER.subarray(1);
    return async member => {
        member.read();
        await member.write(starts[member.index % starts.length]!);
        await member.write(FILLER, Math.floor(bytes / WRITE_BYTES) - 1);
        await member.write(last);
    };
}

/** Sends header fields of 15 KB and never ends the header block: one long field, or many short ones, in turn. */
export function endlessHeads(head = SUBMISSION_HEAD): CrowdKind {
    const bytes = 15 * 1024;
    const heads = [
        Buffer.from(`${head}name: ${"x".repeat(bytes)}`),
        Buffer.from(head + "na: vv\r\n".repeat(bytes / 8)),
    ];
    return async member => {
        member.read();
        await member.write(heads[member.index % heads.length]!);
    };
}

/** Holds connections open: without input, with half a head, and after a request that was answered. */
export const heldConnections: CrowdKind = async member => {
    member.read();
    const texts = ["", SUBMISSION_HEAD, QUERY];
    const text = texts[member.index % texts.length]!;
    if (text !== "") {
        await member.write(Buffer.from(text));
    }
};

/** Sends valid requests whose bodies are no valid input, to each path in turn. */
export function wrongBodies(headOf: (path: string) => string, paths: string[]): CrowdKind {
    const requests = paths.flatMap(path =>
        WRONG_BODIES.map(body => Buffer.from(`${headOf(path)}content-length: ${body.length}\r\n\r\n${body}`)),
    );
    return async member => {
        member.read();
        for (const [position, request] of requests.entries()) {
            if (position % WRONG_BODIES.length === member.index % WRONG_BODIES.length) {
                await member.write(request);
            }
        }
    };
}

/** Sends input that is no valid request. */
export const malformedInput: CrowdKind = async member => {
    member.read();
    await member.write(MALFORMED[member.index % MALFORMED.length]!);
};

/** Plays several kinds in turn. */
export function mixedCrowd(kinds: CrowdKind[]): CrowdKind {
    return member =>
        kinds[member.index % kinds.length]!({ ...member, index: Math.floor(member.index / kinds.length) });
}

function chunkedHead(head: string): Buffer {
    return Buffer.from(`${head}transfer-encoding: chunked\r\n\r\n`);
}
