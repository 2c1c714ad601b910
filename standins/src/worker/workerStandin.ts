import type { ServerResponse } from "node:http";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import { findRoute, parseJson, sendOk, type Routes } from "@tanagerdeck/runtime/http/routes";
import { systemClock, type Clock } from "@tanagerdeck/runtime/clock/clock";
import {
    createWorkerModel,
    healthyWorkerFaults,
    type TaskOrder,
    type WorkerModel,
    type WorkerResult,
} from "./workerModel.ts";

const BODY_LIMIT_BYTES = 8 * 1024 * 1024;

/** A stand-in for a worker, with its HTTP listener. */
export interface WorkerStandin {
    listener: Listener;
    model: WorkerModel;
}

/** Starts a worker on `ip:port`. A silent worker keeps connections open and answers no call. */
export async function startWorkerStandin(
    address: string,
    clock: Clock = systemClock,
): Promise<WorkerStandin> {
    const model = createWorkerModel(clock, healthyWorkerFaults());
    const routes = createWorkerRoutes(model);
    const listener = await startListener(address, (request, response) => {
        if (model.faults.silent) {
            return;
        }
        const found = findRoute(routes, request);
        if (!found) {
            sendJson(response, 404, {});
            return;
        }
        const call = { context: model, segments: found.segments, request, response };
        found.route(call).catch(() => request.socket.destroy());
    });
    return { listener, model };
}

function createWorkerRoutes(model: WorkerModel): Routes<WorkerModel> {
    return {
        async "GET /tasks"({ response }) {
            sendOk(response, model.list());
        },
        async "POST /tasks"({ segments, request, response }) {
            const body = parseJson(await readBody(request, BODY_LIMIT_BYTES)) as Record<string, unknown>;
            const [id = "", action] = segments;
            if (action === undefined) {
                sendResult(response, model.create(body as unknown as TaskOrder));
                return;
            }
            const actions: Record<string, () => void> = {
                lease: () => sendResult(response, model.renew(id, Number(body.leaseMs))),
                throttle: () => sendResult(response, model.throttle(id, Number(body.throttle))),
                checkpoint: () => model.checkpoint(id, result => sendResult(response, result)),
            };
            const run = actions[action];
            if (!run) {
                sendJson(response, 404, {});
                return;
            }
            run();
        },
        async "DELETE /tasks"({ segments, response }) {
            sendResult(response, model.remove(segments[0] ?? ""));
        },
        async "GET /usage"({ response }) {
            sendOk(response, model.usage());
        },
    };
}

function sendResult<T>(response: ServerResponse, result: WorkerResult<T>): void {
    const status: Record<WorkerResult<T>["kind"], number> = { ok: 200, absent: 404, busy: 409 };
    sendJson(response, status[result.kind], result.kind === "ok" ? result.value : {});
}
