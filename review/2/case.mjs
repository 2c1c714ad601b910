// One job of many small work units is accepted, and with it a few ordinary jobs of another tenant.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, newJobId, pause, QUEUES, runCase, waitUntilServing } from "../standin/deployment.mjs";

/** 4,000 x 10 thousandths of a core: 40 of the 320 cores of the five runners. */
const LARGE_COUNT = 4_000;
const ORDINARY_JOBS = 4;
/** Time without a running work unit after which rule LOST is broken, `finish_s` after the end of the traffic. */
const IDLE_MS = 3_000;
const WATCHED_MS = 30_000;
/** Interval at which the client asks for the states of the ordinary jobs. */
const ASK_MS = 5_000;

await runCase({
    folder: dirname(fileURLToPath(import.meta.url)),
    runners: [{}, {}, {}, {}, {}],
    async play(deployment, hasTrouble) {
        const { events } = deployment;
        await waitUntilServing(deployment);
        const large = {
            id: newJobId(),
            key: "key-yard",
            queue: QUEUES.batch,
            job: {
                spec: JSON.stringify({ ms: 300 }),
                steps: [{ count: LARGE_COUNT, cpu: 10, mem_mb: 10, estimate_ms: 300 }],
            },
        };
        const ordinary = Array.from({ length: ORDINARY_JOBS }, () => ({
            id: newJobId(),
            key: "key-counter",
            queue: QUEUES.batch,
            job: {
                spec: JSON.stringify({ ms: 2_000 }),
                steps: [{ count: 1, cpu: 7_500, mem_mb: 11_000, gpu: 1, estimate_ms: 2_000 }],
            },
        }));
        const jobs = hasTrouble ? [large, ...ordinary] : ordinary;
        const submit = one => deployment.submit(one.queue, one.id, one.job, one.key);
        const statuses = await Promise.all(jobs.map(submit));
        const accepted = jobs.filter((_one, index) => statuses[index] === 200);
        if (accepted.length < jobs.length) {
            deployment.record(`not all jobs were accepted: ${statuses.join(" ")}`);
        }
        await pause(BOUNDS.finish_s * 1_000);
        for (let waitedMs = 0; waitedMs < WATCHED_MS; waitedMs += ASK_MS) {
            const asked = Promise.all(ordinary.map(({ id, queue, key }) => deployment.state(queue, id, key)));
            await Promise.all([asked, pause(ASK_MS)]);
        }
        const broken = [];
        for (const { id, queue, key } of accepted) {
            const state = await deployment.state(queue, id, key);
            const begun = events.filter(event => event.kind === "start" && event.task.startsWith(`${id}.`));
            if (begun.length === 0 && state !== "completed" && state !== "failed") {
                broken.push(
                    `LOST: job ${id} was accepted, is shown as ${state}, and no work unit of it has run ` +
                        `for ${WATCHED_MS} ms (bound ${IDLE_MS} ms) from finish_s after the end of the traffic`,
                );
            }
        }
        return broken;
    },
});
