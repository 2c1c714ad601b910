// One ping of another writer reaches an agent: it names a service that no manifest holds.
import { dirname } from "node:path";
import { fileURLToPath } from "node:url";
import { findTwice, newJobId, pause, QUEUES, runCase, waitUntilServing } from "../standin/deployment.mjs";
import { post } from "../standin/runner.mjs";

const KEY = "key-counter";
/** The work units need more than the time that the case watches them. */
const WORK_MS = 25_000;
const WATCHED_MS = 20_000;

await runCase({
    folder: dirname(fileURLToPath(import.meta.url)),
    runners: [{}, {}, {}, {}],
    async play(deployment, hasTrouble) {
        const { record, runners, events, waitFor } = deployment;
        await waitUntilServing(deployment);
        const id = newJobId();
        const job = {
            spec: JSON.stringify({ ms: WORK_MS }),
            steps: [{ count: 2, cpu: 26_000, mem_mb: 53_000, gpu: 4, estimate_ms: WORK_MS }],
        };
        if ((await deployment.submit(QUEUES.normal, id, job, KEY)) !== 200) {
            throw new Error("the job is not accepted");
        }
        const isOf = event => event.task?.startsWith(`${id}.`);
        const starts = () => events.filter(event => event.kind === "start" && isOf(event));
        if (!(await waitFor("both work units run", () => starts().length === 2, 10_000))) {
            throw new Error("the job does not start");
        }
        await pause(2_000);
        const target = runners.find(runner => runner.name === starts()[0].runner);
        if (hasTrouble) {
            const odd = {
                service: "ledger-printer",
                address: `${target.ip}:9100`,
                zone: "yard-1",
                version: "v1",
                slots: 1,
                state: "ready",
                cold_remaining_ms: 0,
                capacity: { cpu: 1_000, mem_mb: 512, gpu: 0 },
                labels: ["p", "r1-1"],
                machine: "m-printer",
                clock_ms: 5_000,
                seq: 1,
                born: Date.now() - 1_000,
            };
            const status = await post(target.control, "/v1/Instances.Heartbeat/i-printer-1", odd);
            record(`odd ping to the agent of ${target.name}: ${JSON.stringify(odd)} is answered ${status}`);
        }
        await pause(WATCHED_MS);
        await deployment.state(QUEUES.normal, id, KEY);
        return findTwice(events.filter(event => event.kind !== "boot"));
    },
});
