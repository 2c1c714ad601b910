// A runner crashes while it carries out a stop and starts again under its id. The group that was stopped must run again.
import { setTimeout } from "node:timers";
import { URL } from "node:url";
import { BOUNDS, isTroubled, job, pause, runCase } from "../standin-2/deployment.mjs";

const options = {
    workers: 2,
    tenants: [
        { name: "t1", api_keys: ["key-t1"], guaranteed: { gpu: 8 } },
        { name: "t2", api_keys: ["key-t2"], guaranteed: { gpu: 0 } },
    ],
};

await runCase(new URL("record.txt", import.meta.url), options, async deployment => {
    const { workers, submit, until, runsOf, note, call, entries } = deployment;
    let crashed;
    for (const worker of workers) {
        worker.onCall = path => {
            if (isTroubled && path === "/v1/run-stop" && crashed === undefined) {
                crashed = worker;
                return { after: () => setTimeout(() => worker.crash(), 200) };
            }
            return undefined;
        };
    }
    // Two jobs of the lowest priority take both runners whole.
    const large = job({ ms: 20_000, gpu: 8, cpu: 64_000, mem_mb: 100_000 });
    const low = [];
    for (let index = 0; index < 2; index++) {
        low.push(await submit("batch", large, { key: "key-t2", at: index }));
    }
    if (!(await until(() => low.every(id => runsOf(id).length === 1), 8_000))) {
        throw new Error("the jobs of low priority did not start");
    }
    await pause(2_000);
    // An urgent job within its tenant's guarantee makes one of them give way.
    const urgent = await submit("urgent", job({ ms: 2_000, gpu: 8, cpu: 64_000, mem_mb: 100_000 }));
    if (isTroubled) {
        await until(() => crashed !== undefined, 5_000);
        if (!crashed) {
            throw new Error("no stop was ordered");
        }
        const { id } = crashed.boot;
        await pause(2_000);
        await crashed.start(id);
    }
    // Rule LOST: `finish_s` after the end of the traffic, a job has nothing running for 3 s although there is room.
    const jobs = [...low, urgent];
    await pause(BOUNDS.finish_s * 1_000);
    const states = {};
    let idleSince = new Map();
    const broken = new Set();
    const checkUntil = Date.now() + 40_000;
    while (Date.now() < checkUntil) {
        let open = 0;
        for (const id of jobs) {
            const { reply } = await call(entries[0], "GET", `/${id === urgent ? "urgent" : "batch"}/${id}`, {
                key: id === urgent ? "key-t1" : "key-t2",
            });
            states[id] = reply?.state;
            open += reply?.state === "completed" ? 0 : 1;
        }
        // Room for the task twice over, with under half of the service in use: nothing runs at all.
        const isIdle = workers.every(worker => worker.running().length === 0);
        for (const id of jobs) {
            if (states[id] === "completed" || !isIdle) {
                idleSince.delete(id);
            } else {
                idleSince.set(id, idleSince.get(id) ?? Date.now());
                if (Date.now() - idleSince.get(id) > 3_000) {
                    broken.add(
                        `LOST: job ${id} is ${states[id]}, nothing runs, all runners are free for 3 s`,
                    );
                }
            }
        }
        if (open === 0) {
            break;
        }
        await pause(500);
    }
    note("states", states);
    return [...broken];
});
