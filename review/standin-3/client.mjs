/* global Buffer, clearTimeout, performance, setTimeout */
// Calls of clients.
import http from "node:http";

/** Sends one request; resolves with its status and body, or with the status `none` if there is no whole answer in time. */
export function call(address, { method = "GET", path, host, key, body, waitMs = 3_000, agent = false }) {
    const [ip, port] = address.split(":");
    return new Promise(resolve => {
        const startedAt = performance.now();
        const done = (status, text) => {
            clearTimeout(timer);
            resolve({ status, text, ms: Math.round(performance.now() - startedAt) });
        };
        const request = http.request(
            {
                host: ip,
                port: Number(port),
                method,
                path,
                agent,
                headers: {
                    host,
                    "x-deadline": String(waitMs),
                    ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
                    ...(body === undefined
                        ? {}
                        : { "content-type": "application/json", "content-length": Buffer.byteLength(body) }),
                },
            },
            response => {
                let text = "";
                response.setEncoding("utf8");
                response.on("data", chunk => (text += chunk));
                response.on("end", () => done(response.statusCode, text));
                response.on("error", () => done("none", ""));
            },
        );
        request.on("error", () => done("none", ""));
        const timer = setTimeout(() => {
            request.destroy();
            done("none", "");
        }, waitMs);
        request.end(body);
    });
}

let lastId = Math.floor(Math.random() * 0xffffffff);
/** A new job id: 16 hexadecimal digits. */
export function newId() {
    lastId += 1;
    return (
        Math.floor(Math.random() * 0xffffffff)
            .toString(16)
            .padStart(8, "0") + (lastId >>> 0).toString(16).padStart(8, "0")
    );
}
