/* global performance, setTimeout */
// What the cases share: one deployment, one test, one verdict, and an end in time.
import fs from "node:fs";
import path from "node:path";
import { startDeployment } from "./deployment.mjs";
import { ROOT, pause } from "./system.mjs";

const LIMIT_MS = 112_000;
export const HELD = 0;
export const BROKEN = 1;
export const NOT_RUN = 2;

/**
 * Runs `test(deployment, withTrouble)`, which resolves with `{ code, text }`, against a deployment with these options. It
 * writes record.txt into `folder`, ends all processes and exits with the code.
 */
export async function runCase(folder, options, test) {
    const withTrouble = process.env.TROUBLE !== "0";
    if (!fs.existsSync(path.join(ROOT, "target/tanagerdeck.cjs"))) {
        process.stdout.write("The build of the deploy file is missing.\n");
        process.exit(NOT_RUN);
    }
    let deployment;
    const close = async verdict => {
        if (!deployment) {
            process.stdout.write(`${verdict.text}\n`);
            process.exit(verdict.code);
        }
        await deployment.close(verdict);
    };
    const stop = reason => close({ code: NOT_RUN, text: `The case couldn't run: ${reason}` });
    setTimeout(() => stop("it took too long"), LIMIT_MS).unref();
    for (const signal of ["SIGINT", "SIGTERM"]) {
        process.once(signal, () => stop(signal));
    }
    try {
        deployment = await startDeployment({ folder, ...options });
        await deployment.ready();
        deployment.record.line(`the test begins ${withTrouble ? "with" : "without"} the disruption`);
        await close(await test(deployment, withTrouble));
    } catch (error) {
        await stop(error.stack);
    }
}

/** An ordinary tenant's client: small jobs at this pace until `stop` is called; each is sent again until it is answered. */
export function startOrdinaryClient(
    deployment,
    { key = "key-okahandja", queue = "normal", everyMs = 500 } = {},
) {
    const jobs = [];
    let isOver = false;
    async function submit(number) {
        const job = { at: performance.now(), status: "none" };
        jobs.push(job);
        const body = {
            spec: "small",
            steps: [{ count: 1, cpu: 1_000, mem_mb: 1_000, estimate_ms: 500, real_ms: 500 }],
        };
        for (let attempt = 0; attempt < 4 && !isOver && !(job.status >= 200 && job.status < 300); attempt++) {
            const front = (number + attempt) % deployment.fronts.length;
            const reply = await deployment.submit(front, queue, body, { key, id: job.id });
            Object.assign(job, { id: reply.id, status: reply.status, answeredAt: performance.now() });
            await pause(reply.status === "none" ? 0 : 300);
        }
    }
    const ended = (async () => {
        for (let number = 0; !isOver; number++) {
            void submit(number);
            await pause(everyMs);
        }
    })();
    return {
        jobs,
        async stop() {
            isOver = true;
            await ended;
        },
    };
}

/** The rule Fault: machines on which processes ended by themselves three times or more. */
export function judgeOwnEnds(deployment, sinceMs) {
    const counts = [...deployment.fronts, ...deployment.agents].map(one => ({
        name: one.name,
        count: one.ownEnds.filter(({ at }) => at >= sinceMs).length,
    }));
    const text = counts.map(({ name, count }) => `${name} ${count}`).join(", ");
    const machines = counts.filter(({ count }) => count >= 3).length;
    return { isBroken: machines >= Math.max(2, counts.length / 10), machines, text };
}
