// More than 500 tasks end on a runner while the store is down. None of them may run again after its end `done`.
import { URL } from "node:url";
import { setTimeout } from "node:timers";
import { isTroubled, job, pause, runCase } from "../standin-2/deployment.mjs";

const TASKS = 700;
const WORK_MS = 12_000;
/** The largest span of `platform_down` in the list `troubles` of the site file ckw-deck. */
const DOWN_MS = 4_500;
/** A runner of the site ckw-deck. */
const OPTIONS = { workers: 1, capacity: { cpu: 128_000, mem_mb: 524_288, gpu: 8 }, stopMs: 200 };

await runCase(new URL("record.txt", import.meta.url), OPTIONS, async deployment => {
    const { store, events, submit, until, note, call, entries } = deployment;
    const count = kind => events.filter(event => event.kind === kind).length;
    const wide = job({ ms: WORK_MS, count: TASKS, cpu: 180, mem_mb: 700, gpu: 0, checkpointing: true });
    const id = await submit("normal", wide, { at: 0 });
    if (!(await until(() => count("end") > 0, 40_000))) {
        throw new Error("no task ended");
    }
    note("first-end", { started: count("start") });
    if (isTroubled) {
        note("store-down");
        const endsAt = Date.now() + DOWN_MS;
        // No answer on any connection; leases pause, as the store may let them.
        store.setDown(true);
        setTimeout(() => store.setDown(false), DOWN_MS);
        await pause(endsAt - Date.now());
        note("store-up", { ended: count("end") });
    }
    await until(() => count("noted") >= TASKS, 30_000);
    await pause(5_000);
    await call(entries[0], "GET", `/normal/${id}`);
    const doneAt = new Map();
    const noted = new Set();
    for (const event of events) {
        if (event.kind === "noted" && event.how === "done" && !event.hasLapsed) {
            noted.add(`${event.task} ${event.run}`);
        }
    }
    const broken = [];
    for (const event of events) {
        if (event.kind === "end" && event.how === "done" && noted.has(`${event.task} ${event.run}`)) {
            doneAt.set(event.task, doneAt.get(event.task) ?? event);
        }
        const done = doneAt.get(event.task);
        if (event.kind === "start" && done) {
            broken.push(`TWICE: ${event.task} run ${event.run} starts after run ${done.run} has ended done`);
        }
    }
    note("counts", {
        starts: count("start"),
        ends: count("end"),
        noted: count("noted"),
        twice: broken.length,
    });
    return broken.slice(0, 20);
});
