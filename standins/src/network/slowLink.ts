import { connect, createServer, type AddressInfo, type Socket } from "node:net";
import { splitAddress } from "@tanagerdeck/runtime/http/listener";

/** A stand-in for a link of limited bandwidth that all connections to one server share. */
export interface SlowLink {
    address: string;
    close(): Promise<void>;
}

const TICK_MS = 10;

interface Delivery {
    client: Socket;
    queue: Buffer[];
}

/** Starts a link to `target` that delivers `bytesPerSecond` of the server's data, in turn to each connection. */
export async function startSlowLink(target: string, bytesPerSecond: number): Promise<SlowLink> {
    const deliveries = new Set<Delivery>();
    const server = createServer(client => {
        const { host, port } = splitAddress(target);
        const upstream = connect(port, host);
        const delivery: Delivery = { client, queue: [] };
        deliveries.add(delivery);
        client.pipe(upstream);
        upstream.on("data", data => delivery.queue.push(data));
        const close = () => {
            deliveries.delete(delivery);
            client.destroy();
            upstream.destroy();
        };
        for (const socket of [client, upstream]) {
            socket.on("close", close);
            socket.on("error", close);
        }
    });

    function deliver(): void {
        const busy = [...deliveries].filter(({ queue }) => queue.length > 0);
        const share = Math.floor((bytesPerSecond * TICK_MS) / 1_000 / Math.max(1, busy.length));
        for (const { client, queue } of busy) {
            const data = Buffer.concat(queue);
            queue.length = 0;
            client.write(data.subarray(0, share));
            if (data.length > share) {
                queue.push(data.subarray(share));
            }
        }
    }

    const timer = setInterval(deliver, TICK_MS);
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", resolve));
    const { port } = server.address() as AddressInfo;
    return {
        address: `127.0.0.1:${port}`,
        async close() {
            clearInterval(timer);
            for (const { client } of deliveries) {
                client.destroy();
            }
            await new Promise<void>(resolve => server.close(() => resolve()));
        },
    };
}
