import { sendJson, startListener, type Listener } from "../http/listener.ts";
import type { Intake } from "../intake/intake.ts";
import { findRoute, type Routes } from "../http/routes.ts";

/** Health of a process as its health check reports it to the load balancer. */
export type ProcessHealth = "serving" | "stopping";

/** Dependencies of the metrics listener. */
export interface MetricsListenerOptions {
    address: string;
    contentType: string;
    text: () => Promise<string>;
    health: () => ProcessHealth;
    intake?: Intake;
}

/** Serves `GET /metrics` and `GET /health`; the health check answers 503 once a graceful stop has begun. */
export function startMetricsListener(options: MetricsListenerOptions): Promise<Listener> {
    const routes: Routes<undefined> = {
        async "GET /metrics"({ response }) {
            const text = await options.text();
            response.writeHead(200, { "content-type": options.contentType });
            response.end(text);
        },
        async "GET /health"({ response }) {
            const health = options.health();
            sendJson(response, health === "serving" ? 200 : 503, { health });
        },
    };
    return startListener(
        options.address,
        (request, response) => {
            const found = findRoute(routes, request);
            if (!found) {
                sendJson(response, 404, {});
                return;
            }
            const call = { context: undefined, segments: found.segments, request, response };
            found.route(call).catch(() => request.socket.destroy());
        },
        options.intake,
    );
}
