import { connect, type Socket } from "node:net";
import { expect } from "chai";
import { readBody, sendJson, startListener, type Listener } from "./listener.ts";

const QUERY = "GET / HTTP/1.1\r\nhost: test\r\n\r\n";
const QUERIES = QUERY.repeat(200);
/** Enough that requests always wait for others' answers. */
const CLIENTS = 40;
/** The platform's grace time, after which the process is killed. */
const CLOSE_LIMIT_MS = 6_000;

/** Guards against a stop that lasts until the process is killed, as a client always sends the next request. */
describe("a listener that closes while clients send requests without end", () => {
    let listener: Listener;
    let clients: Socket[];

    beforeEach(async () => {
        listener = await startListener("127.0.0.1:0", (request, response) => {
            void readBody(request, 1_000).then(
                async () => {
                    await pause(50);
                    sendJson(response, 200, { filling: "x".repeat(500) });
                },
                () => undefined,
            );
        });
        const port = Number(listener.address.split(":")[1]);
        clients = Array.from({ length: CLIENTS }, () => connect(port, "127.0.0.1"));
        for (const client of clients) {
            client.on("error", () => undefined);
        }
        await Promise.all(
            clients.map(client => new Promise<void>(resolve => client.once("connect", resolve))),
        );
    });

    afterEach(() => {
        for (const client of clients) {
            client.destroy();
        }
    });

    function sendWithoutEnd(client: Socket): void {
        const send = () => {
            while (!client.destroyed && client.write(QUERIES)) {
                // Writes until the socket's buffer is full.
            }
        };
        client.on("drain", send);
        send();
    }

    async function closes(): Promise<boolean> {
        await pause(300);
        return Promise.race([listener.close().then(() => true), pause(CLOSE_LIMIT_MS).then(() => false)]);
    }

    it("closes although the clients read all answers", async () => {
        for (const client of clients) {
            client.resume();
            sendWithoutEnd(client);
        }
        expect(await closes()).to.equal(true);
    });

    it("closes although the clients read no answer", async () => {
        for (const client of clients) {
            client.pause();
            sendWithoutEnd(client);
        }
        expect(await closes()).to.equal(true);
    });
});

function pause(delayMs: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, delayMs));
}
