/* global Buffer, setInterval, setTimeout */
// A crowd of clients that keep to no limit, as a process of its own: node crowd.mjs ADDRESS LOCAL_IP KIND=COUNT ...
import net from "node:net";

const [target, localAddress, ...kinds] = process.argv.slice(2);
const [host, port] = target.split(":");
const path = () =>
    `/batch/${Math.floor(Math.random() * 2 ** 52)
        .toString(16)
        .padStart(16, "0")}`;
const head = "Host: desk.example\r\nAuthorization: Bearer key-caroni\r\nContent-Type: application/json\r\n";

const LARGE_CHUNK = Buffer.alloc(0x40000 - 1, 32);
const TINY_CHUNKS = Buffer.from("1\r\n \r\n".repeat(250_000));

const MANY_STEPS = `{"spec":"x","steps":[${"{},".repeat(86_999)}{}]}`;

/** Each kind writes to a connected socket. */
const KINDS = {
    // One chunk of 256 KB, the last byte of which never comes.
    chunks(socket) {
        socket.write(`POST ${path()} HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n40000\r\n`);
        socket.write(LARGE_CHUNK);
    },
    // A body of 250,000 bytes of known length, the last byte of which never comes.
    bodies(socket) {
        socket.write(`POST ${path()} HTTP/1.1\r\n${head}Content-Length: 250000\r\n\r\n`);
        socket.write(LARGE_CHUNK.subarray(0, 249_999));
    },
    // A header block of 15 KB that doesn't end.
    heads(socket) {
        socket.write(`POST ${path()} HTTP/1.1\r\n${head}X-Long: ${"x".repeat(15_000)}`);
    },
    // 250,000 chunks of one byte, and no end.
    tiny(socket) {
        socket.write(`POST ${path()} HTTP/1.1\r\n${head}Transfer-Encoding: chunked\r\n\r\n`);
        socket.write(TINY_CHUNKS);
    },
    // 30,000 queries sent ahead; the answers aren't read.
    ahead(socket) {
        socket.pause();
        socket.write(`GET ${path()} HTTP/1.1\r\n${head}\r\n`.repeat(30_000));
    },
    // Whole requests that are read: many small queries.
    queries(socket) {
        const send = () => socket.write(`GET ${path()} HTTP/1.1\r\n${head}\r\n`);
        socket.on("data", send);
        send();
    },
    // Whole submissions of 262,000 bytes with 87,000 empty steps, one after the other; the answers are read.
    steps(socket) {
        const send = () =>
            socket.write(
                `POST ${path()} HTTP/1.1\r\n${head}Content-Length: ${MANY_STEPS.length}\r\n\r\n${MANY_STEPS}`,
            );
        socket.on("data", send);
        send();
    },
    // Connections that send nothing.
    idle() {},
};

const counts = {};
function open(kind) {
    const socket = net.connect({ host, port: Number(port), localAddress });
    socket.on("connect", () => KINDS[kind](socket));
    if (kind !== "ahead" && kind !== "queries" && kind !== "steps") {
        socket.on("data", () => {});
    }
    socket.on("error", () => {});
    socket.on("close", () => {
        counts[kind] = (counts[kind] ?? 0) + 1;
        setTimeout(() => open(kind), 100);
    });
}
for (const kind of kinds) {
    const [name, count] = kind.split("=");
    for (let number = 0; number < Number(count); number++) {
        open(name);
    }
}
setInterval(() => process.stdout.write(`${JSON.stringify(counts)}\n`), 5_000);
