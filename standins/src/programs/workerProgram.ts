import type { WorkerFaults } from "../worker/workerModel.ts";
import { startWorkerStandin } from "../worker/workerStandin.ts";
import { startControlListener } from "./controlListener.ts";
import { readStandinSettings, announceReady } from "./standinProgram.ts";

/** Runs the worker stand-in as a program that tests control over HTTP. */
async function run(): Promise<void> {
    const settings = readStandinSettings();
    const worker = await startWorkerStandin(settings.address);
    const { model } = worker;
    const control = await startControlListener(settings.controlAddress, {
        // Times since the Unix epoch, so that tests can compare the intervals of several processes.
        "GET /intervals": () =>
            model.intervals.map(interval => ({
                ...interval,
                begin: performance.timeOrigin + interval.begin,
                end: interval.end === undefined ? undefined : performance.timeOrigin + interval.end,
            })),
        "POST /faults": body => Object.assign(model.faults, body as Partial<WorkerFaults>),
        "POST /fail": () => model.fail(),
    });
    announceReady({ address: worker.listener.address, controlAddress: control.address });
}

void run();
