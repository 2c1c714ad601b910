/* global performance */
// Another writer's ping, with fields missing, reaches each runner's machine once. Everything else is calm.
import http from "node:http";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { BROKEN, HELD, runCase, startOrdinaryClient } from "../standin-3/case.mjs";
import { pause } from "../standin-3/system.mjs";

const TRAFFIC_MS = 20_000;
/** Bounds of the rule: `finish_s` of the site, and the time for which nothing of a job runs. */
const FINISH_MS = 14_000;
const IDLE_MS = 3_000;
const WATCH_MS = 6_000;

/** A ping in the runner's name, without `address`, `version`, `slots` and `labels`. */
function sendOddPing(runner, record) {
    const { id, born } = runner.boot;
    const body = JSON.stringify({
        service: "desk",
        zone: "zone-1",
        state: "draining",
        capacity: { cpu: 64_000, mem_mb: 512_000, gpu: 8 },
        clock_ms: Math.floor(runner.clock()),
        born,
        seq: 1_000_000,
    });
    const ip = runner.address.split(":")[0];
    return new Promise(resolve => {
        const request = http.request(
            { host: ip, port: 8526, method: "POST", path: `/v1/Instances.Heartbeat/${id}`, agent: false },
            response => {
                response.resume();
                record(`another writer's ping for ${id}: ${response.statusCode} ${body}`);
                resolve();
            },
        );
        request.on("error", error => {
            record(`another writer's ping for ${id}: ${error.message}`);
            resolve();
        });
        request.end(body);
    });
}

await runCase(path.dirname(fileURLToPath(import.meta.url)), {}, async (deployment, withTrouble) => {
    const ordinary = startOrdinaryClient(deployment);
    await pause(5_000);
    if (withTrouble) {
        await Promise.all(deployment.runners.map(runner => sendOddPing(runner, deployment.record.line)));
    }
    await pause(TRAFFIC_MS);
    await ordinary.stop();
    deployment.record.line("the traffic has ended");
    await pause(FINISH_MS);

    const accepted = ordinary.jobs.filter(({ status }) => status === 200);
    const idleFrom = new Map();
    const broken = new Set();
    for (const until = performance.now() + WATCH_MS; performance.now() < until; await pause(250)) {
        const now = performance.now();
        const running = new Set();
        const done = new Set();
        for (const { kind, task, how } of deployment.events) {
            const job = task?.split(".")[0];
            if (kind === "start") {
                running.add(job);
            } else if (kind === "end") {
                running.delete(job);
                if (how === "done") {
                    done.add(job);
                }
            }
        }
        // Each job needs 1,000 thousandths of a core; the three runners have 192,000, all are up and say `ready`.
        const isHalfUsed = running.size * 1_000 >= 96_000;
        for (const { id } of accepted) {
            if (running.has(id) || done.has(id) || isHalfUsed) {
                idleFrom.delete(id);
            } else if (!idleFrom.has(id)) {
                idleFrom.set(id, now);
            } else if (now - idleFrom.get(id) >= IDLE_MS) {
                broken.add(id);
            }
        }
    }
    for (const id of [...broken].slice(0, 5)) {
        await deployment.call(1, { path: `/normal/${id}` }, "after the end: ");
    }
    const text = `Accepted jobs: ${accepted.length}; of these, with nothing running for 3 s while the runners are idle: ${broken.size}.`;
    return {
        code: broken.size > 0 ? BROKEN : HELD,
        text: `${broken.size > 0 ? "LOST is broken" : "LOST held"}. ${text}`,
    };
});
