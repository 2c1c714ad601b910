import type { IncomingMessage, ServerResponse } from "node:http";
import { request as sendRequest } from "undici";
import type { Resources } from "@tanagerdeck/decisions/job/jobTypes";
import type { Clock, TimerStop } from "@tanagerdeck/runtime/clock/clock";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import type { CallRefusal, TaskWorker } from "./taskWorker.ts";

/**
 * How a worker treats calls.
 * - `normal`: it executes and answers them.
 * - `late`: it executes them after a delay and does not answer.
 * - `mute`: it neither executes nor answers them.
 * - `busy`: it refuses starts with status 503.
 */
export type WorkerBehaviour = "normal" | "late" | "mute" | "busy";

/** The HTTP server of an emulated worker, which also sends heartbeats to the worker's agent. */
export interface WorkerServer {
    address: string;
    behaviour: WorkerBehaviour;
    /** Reports the worker as draining in all further heartbeats. */
    drain(remainingMs: number): void;
    /** Reports the worker as cold for a time, with the remaining time in each heartbeat. */
    cool(durationMs: number): void;
    /** Replaces the worker by its next boot at the same address. */
    replace(worker: TaskWorker): void;
    close(): Promise<void>;
}

/** Options of the server. */
export interface WorkerServerOptions {
    worker: TaskWorker;
    address: string;
    service: string;
    availabilityZone: string;
    rack: string;
    /** Label that names the kind of the worker. */
    kind: string;
    capacity: Resources;
    /** Address that the heartbeats are sent to. */
    registrationAddress: string;
    heartbeatIntervalMs: number;
    clock: Clock;
    /** Delay of calls while `behaviour` is `late`. */
    lateDelayMs: () => number;
    /** `isExecuting` is true while a delayed call is being executed. */
    lateExecution: { isExecuting: boolean };
    /** Called for each acknowledged heartbeat that reports the worker as draining. */
    onDrainAcknowledged: () => void;
}

const BODY_LIMIT_BYTES = 64 * 1024;
const MAX_WAIT_MS = 2_000;
/** Ends that the worker lists at once. */
const LISTED_ENDS = 500;

interface CallBody {
    task: string;
    run: number;
    spec: string;
    saved?: string;
    deadline_ms?: number;
    fencing_token?: number;
    last_seen?: number;
    wait_ms?: number;
}

/** Starts the server and its heartbeats. */
export async function startWorkerServer(options: WorkerServerOptions): Promise<WorkerServer> {
    const { clock, lateDelayMs } = options;
    let worker = options.worker;
    let sequence = 0;
    let remainingMs: number | undefined;
    /** Time on the clock until which the worker is reported as cold. */
    let coldUntilMs = 0;
    let stopHeartbeatTimer: TimerStop = () => {};
    let isClosed = false;

    async function serve(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const text = await readBody(request, BODY_LIMIT_BYTES);
        const body = JSON.parse(text ?? "{}") as CallBody;
        const target = request.headers["x-target-instance"];
        const execute = (): void => {
            if (target !== undefined && target !== worker.id) {
                sendJson(response, 421, {});
                return;
            }
            void executeCall(request.url ?? "", body, response);
        };
        if (server.behaviour === "late") {
            // The caller has timed out long before; the call is executed nevertheless.
            clock.startTimer(lateDelayMs(), () => {
                options.lateExecution.isExecuting = true;
                execute();
                options.lateExecution.isExecuting = false;
            });
            return;
        }
        if (server.behaviour === "mute") {
            return;
        }
        if (server.behaviour === "busy" && request.url === "/v1/run-start") {
            sendJson(response, 503, {});
            return;
        }
        execute();
    }

    async function executeCall(path: string, body: CallBody, response: ServerResponse): Promise<void> {
        const fence = body.fencing_token ?? 0;
        const { task, run } = body;
        if (path === "/v1/run-start") {
            const { spec, saved, deadline_ms: deadlineMs = 0 } = body;
            sendCallReply(response, worker.start({ task, run, fence, spec, saved, deadlineMs }));
            return;
        }
        if (path === "/v1/run-stop") {
            sendCallReply(response, worker.stop({ task, run, fence }));
            return;
        }
        if (path !== "/v1/hold") {
            sendJson(response, 404, {});
            return;
        }
        const refusal = worker.hold({ fence, recorded: body.last_seen ?? 0, deadlineMs: body.deadline_ms });
        if (refusal) {
            sendCallReply(response, refusal);
            return;
        }
        await waitForEnd(Math.min(MAX_WAIT_MS, body.wait_ms ?? 0));
        sendJson(response, 200, {
            clock_ms: worker.clockMs(),
            born: worker.bornMs,
            running: worker.running().map(row => [row.task, row.run, row.saved ?? "", row.percent]),
            ended: worker
                .ended()
                .slice(0, LISTED_ENDS)
                .map(row => [row.number, row.task, row.run, row.end, row.saved ?? ""]),
        });
    }

    function sendCallReply(response: ServerResponse, refusal: CallRefusal | undefined): void {
        const clock_ms = worker.clockMs();
        if (refusal === "invalid") {
            sendJson(response, 400, { clock_ms, reason: "unknown" });
        } else if (refusal) {
            sendJson(response, 409, { clock_ms, reason: refusal });
        } else {
            sendJson(response, 200, { clock_ms });
        }
    }

    function waitForEnd(waitMs: number): Promise<void> {
        if (waitMs === 0 || worker.ended().length > 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const stopListening = worker.onEnd(finish);
            const stopTimer = clock.startTimer(waitMs, finish);
            function finish(): void {
                stopListening();
                stopTimer();
                resolve();
            }
        });
    }

    function sendHeartbeat(): void {
        if (isClosed) {
            return;
        }
        const { service, availabilityZone, rack, kind, capacity } = options;
        const body = JSON.stringify({
            service,
            address: listener.address,
            zone: availabilityZone,
            version: "v1",
            slots: 8,
            state: remainingMs === undefined ? "ready" : "draining",
            ...(remainingMs === undefined ? {} : { remaining_ms: remainingMs }),
            cold_remaining_ms: Math.max(0, Math.ceil(coldUntilMs - clock.now())),
            born: worker.bornMs,
            capacity: { cpu: capacity.cpuMillis, mem_mb: capacity.memoryMb, gpu: capacity.gpus },
            labels: [kind, rack],
            machine: listener.address,
            clock_ms: worker.clockMs(),
            seq: ++sequence,
        });
        const isDraining = remainingMs !== undefined;
        const url = `http://${options.registrationAddress}/v1/Instances.Heartbeat/${worker.id}`;
        sendRequest(url, { method: "POST", body, headers: { "content-type": "application/json" } }).then(
            reply => {
                if (isDraining && reply.statusCode === 200) {
                    options.onDrainAcknowledged();
                }
                return reply.body.dump();
            },
            () => undefined,
        );
        stopHeartbeatTimer = clock.startTimer(options.heartbeatIntervalMs, sendHeartbeat);
    }

    const listener: Listener = await startListener(options.address, (request, response) => {
        serve(request, response).catch(() => request.socket.destroy());
    });
    const server: WorkerServer = {
        address: listener.address,
        behaviour: "normal",
        drain(minRemainingMs) {
            remainingMs = minRemainingMs;
            stopHeartbeatTimer();
            sendHeartbeat();
        },
        cool(durationMs) {
            coldUntilMs = clock.now() + durationMs;
            stopHeartbeatTimer();
            sendHeartbeat();
        },
        replace(next) {
            worker = next;
            sequence = 0;
            remainingMs = undefined;
            coldUntilMs = 0;
            stopHeartbeatTimer();
            sendHeartbeat();
        },
        async close() {
            isClosed = true;
            stopHeartbeatTimer();
            await listener.close();
        },
    };
    sendHeartbeat();
    return server;
}
