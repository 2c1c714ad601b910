import { connect } from "node:net";
import { expect } from "chai";
import { readBody, sendJson, startListener, type Listener } from "./listener.ts";

const HEAD = "POST / HTTP/1.1\r\nhost: test\r\nconnection: close\r\ntransfer-encoding: chunked\r\n\r\n";
/** Together the extensions are longer than the head of a request may be. */
const BODY_BYTES = 2_000;

/** Guards against a request within the limits that is refused, as its chunk extensions are taken for a long head. */
describe("a listener that receives a body in one-byte chunks with extensions", () => {
    let listener: Listener;

    beforeEach(async () => {
        listener = await startListener("127.0.0.1:0", (request, response) => {
            void readBody(request, BODY_BYTES).then(
                body => sendJson(response, 200, { length: body?.length }),
                () => undefined,
            );
        });
    });

    afterEach(() => listener.close());

    async function answerTo(text: string): Promise<string> {
        const socket = connect(Number(listener.address.split(":")[1]), "127.0.0.1");
        socket.write(text);
        let answer = "";
        for await (const data of socket as AsyncIterable<Buffer>) {
            answer += data.toString("latin1");
        }
        return answer;
    }

    it("answers it", async () => {
        const answer = await answerTo(
            HEAD + '1;note="an extension"\r\nx\r\n'.repeat(BODY_BYTES) + "0\r\n\r\n",
        );
        expect(answer)
            .to.match(/^HTTP\/1.1 200 /)
            .and.contain(`{"length":${BODY_BYTES}}`);
    });

    it("still refuses trailers that are longer than a head may be", async () => {
        const trailers = `x: ${"y".repeat(20_000)}\r\n`;
        expect(await answerTo(`${HEAD}1\r\nx\r\n0\r\n${trailers}\r\n`)).to.match(/^HTTP\/1.1 431 /);
    });
});
