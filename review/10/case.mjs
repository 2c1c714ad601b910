// A runner's machine is removed for good, and the leader is killed 8 s later. The work must run elsewhere in time.
import { URL } from "node:url";
import { BOUNDS, isTroubled, job, pause, runCase } from "../standin-2/deployment.mjs";

const KILL_AFTER_MS = 8_000;
const RESTART_MS = 1_000;

await runCase(new URL("record.txt", import.meta.url), { workers: 3, entries: 3 }, async deployment => {
    const { workers, agents, entries, submit, until, runsOf, note, events, leader, restart } = deployment;
    let restarted;
    const id = await submit("normal", job({ ms: 25_000, gpu: 8, cpu: 26_000, mem_mb: 52_992 }));
    if (!(await until(() => runsOf(id).length === 1, 8_000))) {
        throw new Error("the job did not start");
    }
    await pause(1_000);
    if (isTroubled) {
        const index = workers.findIndex(worker => worker.running().length > 0);
        workers[index].crash();
        agents[index].child.kill("SIGKILL");
        note("removed", { worker: workers[index].name, agent: agents[index].name });
    }
    // Clients go on handing in small jobs until the leader is killed.
    const killAt = Date.now() + KILL_AFTER_MS;
    let endedAt = Date.now();
    for (let at = 0; Date.now() < killAt; at++) {
        await submit("normal", job({ ms: 300 }), { at });
        endedAt = Date.now();
        await pause(1_000);
    }
    note("traffic-ended", { agoMs: Date.now() - endedAt });
    if (isTroubled) {
        const killed = leader();
        killed.child.kill("SIGKILL");
        note("leader-killed", { entry: killed.name });
        restarted = pause(RESTART_MS).then(() => restart(entries, entries.indexOf(killed)));
    }
    await restarted;
    await pause(BOUNDS.finish_s * 1_000 - (Date.now() - endedAt));
    // Rule LOST: for 3 s the job has nothing running, though two runners with room for it are empty.
    note("asked-for");
    const isDone = () =>
        events.some(event => event.kind === "end" && event.how === "done" && event.task.startsWith(id));
    const endsAt = Date.now() + 12_000;
    let idleMs = 0;
    let idleSince;
    while (Date.now() < endsAt && !isDone()) {
        idleSince = runsOf(id).length > 0 ? undefined : (idleSince ?? Date.now());
        idleMs = Math.max(idleMs, idleSince === undefined ? 0 : Date.now() - idleSince);
        await pause(20);
    }
    note("idle", { ms: idleMs });
    return idleMs > 3_000
        ? [`LOST: job ${id} had nothing running for ${idleMs} ms beside two empty runners`]
        : [];
});
