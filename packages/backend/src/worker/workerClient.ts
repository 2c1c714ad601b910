import { Pool } from "undici";
import { replyTimeout } from "@tanagerdeck/runtime/http/replyTimer";

/** State of a task on the worker; a `loaded` task does not compute. */
export type TaskState = "loaded" | "computing" | "finished" | "failed";

/** A task as the worker lists it. */
export interface WorkerTaskView {
    id: string;
    indexes: number[];
    state: TaskState;
}

/** Order to load a task, which ends after `leaseMs` unless its lease is renewed. */
export interface WorkerTaskOrder {
    id: string;
    indexes: number[];
    leaseMs: number;
    /** Share of full speed; 0 means loaded but not computing. */
    throttle: number;
    checkpoint?: string;
    body: string;
}

/** Cumulative accelerator time of one task. */
export interface TaskUsage {
    task: string;
    acceleratorMs: number;
}

/** Reply of a worker: `absent` if it has no such task, `silent` if the call failed or was not answered in time. */
export type WorkerReply<T> = { kind: "ok"; value: T } | { kind: "absent" | "refused" | "silent" };

/** Calls that a worker offers for its tasks. */
export interface WorkerCalls {
    list(): Promise<WorkerReply<WorkerTaskView[]>>;
    create(order: WorkerTaskOrder): Promise<WorkerReply<WorkerTaskView>>;
    renew(id: string, leaseMs: number): Promise<WorkerReply<WorkerTaskView>>;
    throttle(id: string, throttle: number): Promise<WorkerReply<WorkerTaskView>>;
    checkpoint(id: string): Promise<WorkerReply<{ checkpoint: string }>>;
    remove(id: string): Promise<WorkerReply<object>>;
    usage(): Promise<WorkerReply<TaskUsage[]>>;
}

/** Time limit of a call, after which it is aborted and its connection closed. */
export const TASK_CALL_TIMEOUT_MS = 300;
const CREATE_TIMEOUT_MS = 1_000;
const CHECKPOINT_TIMEOUT_MS = 2_000;
/** Several connections, as renewals of other tasks must not wait for a checkpoint. */
const CONNECTIONS = 16;

/** Creates an HTTP client of the worker at `ip:port`. */
export function createWorkerClient(address: string): { calls: WorkerCalls; close(): Promise<void> } {
    const pool = new Pool(`http://${address}`, {
        connections: CONNECTIONS,
        connect: { timeout: CREATE_TIMEOUT_MS },
    });

    async function call<T>(
        method: "GET" | "POST" | "DELETE",
        path: string,
        body?: object,
        timeoutMs = TASK_CALL_TIMEOUT_MS,
    ): Promise<WorkerReply<T>> {
        try {
            const response = await pool.request({
                path,
                method,
                headers: { "content-type": "application/json" },
                body: body ? JSON.stringify(body) : undefined,
                signal: replyTimeout(timeoutMs),
            });
            if (response.statusCode !== 200) {
                await response.body.dump();
                return { kind: response.statusCode === 404 ? "absent" : "refused" };
            }
            return { kind: "ok", value: (await response.body.json()) as T };
        } catch {
            return { kind: "silent" };
        }
    }

    const calls: WorkerCalls = {
        list: () => call("GET", "/tasks"),
        create: order => call("POST", "/tasks", order, CREATE_TIMEOUT_MS),
        renew: (id, leaseMs) => call("POST", `${taskPath(id)}/lease`, { leaseMs }),
        throttle: (id, throttle) => call("POST", `${taskPath(id)}/throttle`, { throttle }),
        checkpoint: id => call("POST", `${taskPath(id)}/checkpoint`, {}, CHECKPOINT_TIMEOUT_MS),
        remove: id => call("DELETE", taskPath(id)),
        usage: () => call("GET", "/usage"),
    };
    return { calls, close: () => pool.destroy() };
}

function taskPath(id: string): string {
    return `/tasks/${encodeURIComponent(id)}`;
}
