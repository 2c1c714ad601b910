import type { IncomingMessage, ServerResponse } from "node:http";
import { expect } from "chai";
import { bodyDigest } from "@tanagerdeck/runtime/access/bodyDigest";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { createRequestClient, type RequestClient } from "./requestClient.ts";

interface Message {
    id: string;
    firstSend: boolean;
}

/** How the test listener responds to one request. */
type ListenerBehaviour = (message: Message, response: ServerResponse, request: IncomingMessage) => void;

const TICKET = "agent-1~one~r~1";
const BODY = '{"quote":1}';

const sendCompleteAnswer: ListenerBehaviour = ({ id }, response) => sendAnswer(response, id, BODY);
const sendTicket: ListenerBehaviour = (_message, response) => sendJson(response, 428, { ticket: TICKET });
const cut: ListenerBehaviour = (_message, _response, request) => request.socket.destroy();
const changeBody: ListenerBehaviour = ({ id }, response) =>
    sendAnswer(response, id, BODY, bodyDigest("another"));
const swap: ListenerBehaviour = (_message, response) => sendAnswer(response, "another", BODY);
const truncate: ListenerBehaviour = ({ id }, response, request) => {
    response.writeHead(200, { "content-length": "100", "x-request-id": id });
    response.write(BODY, () => request.socket.destroy());
};
const refuseWithoutConfiguration: ListenerBehaviour = (_message, response) =>
    sendJson(response, 503, { verdict: "not-run", reason: "no-configuration", detail: "" });

describe("invariant 3: a caller receives the complete answer to its own request (client)", () => {
    let listener: Listener;
    let client: RequestClient;
    let receivedMessages: Message[];
    let steps: ListenerBehaviour[];

    beforeEach(async () => {
        receivedMessages = [];
        listener = await startListener("127.0.0.1:0", (request, response) => {
            void readBody(request, 10_000).then(text => {
                const message = JSON.parse(text ?? "{}") as Message;
                receivedMessages.push(message);
                (steps.shift() ?? sendCompleteAnswer)(message, response, request);
            });
        });
        client = createRequestClient({ addresses: [listener.address], token: "t" });
    });

    afterEach(async () => {
        await client.close();
        await listener.close();
    });

    describe("step: ticket", () => {
        it("fault: none: the request is sent with the ticket as its id", async () => {
            steps = [sendTicket];
            expect(await submit()).to.equal(BODY);
            expect(receivedMessages[1]).to.include({ id: TICKET, firstSend: true });
        });
    });

    describe("step: answer to the caller", () => {
        for (const [fault, step] of Object.entries({ cut, changeBody, swap, truncate })) {
            it(`fault: ${fault}: repeated with the same id, whole answer`, async () => {
                steps = [sendTicket, step];
                expect(await submit()).to.equal(BODY);
                expect(receivedMessages[2]).to.include({ id: TICKET, firstSend: false });
            });
        }

        it("fault: cut, and then an entry without a configuration: may have run", async () => {
            steps = [cut, refuseWithoutConfiguration];
            expect(await submit()).to.equal("may-have-run");
        });

        it("fault: entry without a configuration at the first send: not run", async () => {
            steps = [refuseWithoutConfiguration];
            expect(await submit()).to.equal("not-run");
        });
    });

    describe("step: submit", () => {
        it("fault: every entry refuses the connection: not run at the deadline", async () => {
            await listener.close();
            expect(await submit(300)).to.equal("not-run");
        });
    });

    async function submit(deadlineMs = 3_000): Promise<string> {
        const { outcome } = await client.submit({ kind: "quote", deadlineMs, body: "{}" });
        return outcome.kind === "answer" ? outcome.answer.body : outcome.verdict;
    }
});

function sendAnswer(response: ServerResponse, id: string, body: string, digest = bodyDigest(body)): void {
    response.writeHead(200, {
        "content-length": String(Buffer.byteLength(body)),
        "content-digest": `sha-256=:${digest}:`,
        "x-request-id": encodeURIComponent(id),
    });
    response.end(body);
}
