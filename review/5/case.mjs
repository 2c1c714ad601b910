// A work unit fails once on the runner that has room for it; the only other runner that may run it stays in use.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { BOUNDS, newJobId, pause, QUEUES, runCase, waitUntilServing } from "../standin/deployment.mjs";

const KEY = "key-counter";
const IDLE_MS = 3_000;
const WATCHED_MS = 30_000;

await runCase({
    folder: dirname(fileURLToPath(import.meta.url)),
    runners: [{ rack: "r1-1" }, { rack: "r1-1" }, { rack: "r1-2" }, { rack: "r1-2" }, { rack: "r1-2" }],
    async play(deployment, hasTrouble) {
        const { events, waitFor } = deployment;
        await waitUntilServing(deployment);
        const inRack = (spec, step) => ({
            spec: JSON.stringify(spec),
            steps: [{ count: 1, required_label: "r1-1", ...step }],
        });
        const startsOf = id =>
            events.filter(({ kind, task }) => kind === "start" && task.startsWith(`${id}.`));

        const lastingId = newJobId();
        const lasting = inRack(
            { lasting: true },
            { cpu: 26_000, mem_mb: 53_000, gpu: 8, estimate_ms: 5_000, long_running: true },
        );
        await deployment.submit(QUEUES.normal, lastingId, lasting, KEY);
        if (!(await waitFor("the lasting work unit runs", () => startsOf(lastingId).length === 1, 10_000))) {
            throw new Error("the lasting work unit does not start");
        }

        const id = newJobId();
        const job = inRack(
            { ms: 2_000, failRuns: hasTrouble ? [1] : [] },
            { cpu: 7_500, mem_mb: 11_000, gpu: 1, estimate_ms: 2_000 },
        );
        if ((await deployment.submit(QUEUES.normal, id, job, KEY)) !== 200) {
            throw new Error("the job is not accepted");
        }
        await pause(BOUNDS.finish_s * 1_000 + WATCHED_MS);
        const state = await deployment.state(QUEUES.normal, id, KEY);
        if (state === "completed") {
            return [];
        }
        return [
            `LOST: job ${id} is shown as ${state}; its work unit has had ${startsOf(id).length} of 4 runs and none for ` +
                `${WATCHED_MS} ms (bound ${IDLE_MS} ms) from finish_s after the end of the traffic, while a runner with ` +
                `its label stood empty`,
        ];
    },
});
