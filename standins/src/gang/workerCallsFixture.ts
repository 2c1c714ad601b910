import type { WorkerCalls, WorkerReply } from "@tanagerdeck/backend/worker/workerClient";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { WorkerModel, WorkerResult } from "../worker/workerModel.ts";
import type { ProcessFixture } from "./processFixture.ts";

const TIMEOUTS_MS = { create: 1_000, checkpoint: 2_000, other: 300 };

/** Calls from an agent's process to its worker model; calls to a silent worker time out. */
export function createWorkerCalls(process: ProcessFixture, model: WorkerModel, clock: Clock): WorkerCalls {
    function call<T>(
        timeoutMs: number,
        run: (done: (result: WorkerResult<T>) => void) => void,
    ): Promise<WorkerReply<T>> {
        return new Promise(resolve => {
            const settle = (reply: WorkerReply<T>) => process.deliver(() => resolve(reply));
            clock.startTimer(timeoutMs, () => settle({ kind: "silent" }));
            if (!model.faults.silent) {
                run(result => settle(result.kind === "busy" ? { kind: "refused" } : result));
            }
        });
    }

    const { create, checkpoint, other } = TIMEOUTS_MS;
    return {
        list: () => call(other, done => done({ kind: "ok", value: model.list() })),
        create: order => call(create, done => done(model.create(order))),
        renew: (id, leaseMs) => call(other, done => done(model.renew(id, leaseMs))),
        throttle: (id, throttle) => call(other, done => done(model.throttle(id, throttle))),
        checkpoint: id => call(checkpoint, done => model.checkpoint(id, done)),
        remove: id => call(other, done => done(model.remove(id))),
        usage: () => call(other, done => done({ kind: "ok", value: model.usage() })),
    };
}
