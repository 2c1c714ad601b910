// What cases 13 and 14 share: crowds of clients that keep to no limit, in processes of their own, while ordinary callers ask
// for their jobs.
import { spawn } from "node:child_process";
import path from "node:path";
import { fileURLToPath } from "node:url";
import { BROKEN, HELD, runCase, startOrdinaryClient } from "./case.mjs";
import { pause } from "./system.mjs";

const STANDINS = path.dirname(fileURLToPath(import.meta.url));
/** `finish_s` of the site, the time limit of its clients (`deadline_ms`) and their retries. */
const FINISH_MS = 14_000;
const DEADLINE_MS = 3_000;
const RETRIES = 4;
const ASKED = 20;

async function test(deployment, withTrouble, kinds) {
    const ordinary = startOrdinaryClient(deployment);
    await pause(10_000);
    const crowds = [];
    if (withTrouble) {
        for (const { name, settings } of deployment.fronts) {
            const program = path.join(STANDINS, "crowd.mjs");
            const crowd = spawn(process.execPath, [program, settings.callerAddress, "127.0.0.9", ...kinds], {
                stdio: ["ignore", "pipe", "inherit"],
            });
            crowd.stdout.on("data", text =>
                deployment.record.line(`crowd at ${name}, connections closed so far: ${text}`.trim()),
            );
            crowds.push(crowd);
            deployment.record.line(`a crowd of ${kinds.join(" ")} connections comes to ${name}`);
        }
        process.on("exit", () => {
            for (const crowd of crowds) {
                crowd.kill("SIGKILL");
            }
        });
    }
    await pause(5_000);
    await ordinary.stop();
    deployment.record.line("the traffic has ended");
    await pause(FINISH_MS);

    const jobs = ordinary.jobs.filter(({ status }) => status === 200).slice(0, ASKED);
    const readiness = [];
    let isAsking = true;
    const probes = (async () => {
        while (isAsking) {
            const address = deployment.fronts[readiness.length % 3].settings.readyAddress;
            const reply = await deployment.callAddress(address, { path: "/v1/ready", host: "x" });
            readiness.push(reply);
            await pause(200);
        }
    })();
    async function ask({ id }, number) {
        for (let attempt = 0; attempt <= RETRIES; attempt++) {
            const front = (number + attempt) % deployment.fronts.length;
            const reply = await deployment.call(front, { path: `/normal/${id}`, waitMs: DEADLINE_MS });
            if (reply.status !== "none" && reply.status < 500) {
                return true;
            }
        }
        return false;
    }
    const answered = await Promise.all(jobs.map(ask));
    isAsking = false;
    await probes;
    for (const crowd of crowds) {
        crowd.kill("SIGKILL");
    }
    const unanswered = answered.filter(isAnswered => !isAnswered).length;
    const ready = readiness.filter(({ status }) => status === 200).length;
    const slowest = Math.max(...readiness.map(({ ms }) => ms));
    const ends = deployment.fronts.reduce((sum, { ownEnds }) => sum + ownEnds.length, 0);
    const text = `Accepted jobs that were asked for: ${jobs.length}; without an answer in ${RETRIES + 1} attempts: ${unanswered}. Health probes meanwhile: ${readiness.length}, answered: ${ready}, the slowest of all took ${slowest} ms. Entries that ended by themselves: ${ends}.`;
    return {
        code: unanswered > 0 ? BROKEN : HELD,
        text: `${unanswered > 0 ? "LOST is broken" : "LOST held"}. ${text}`,
    };
}

/** Runs the case in `folder` with a crowd of these kinds at each entry, given as `KIND=CONNECTIONS`. */
export async function runCrowdCase(folder, kinds) {
    await runCase(folder, {}, (deployment, withTrouble) => test(deployment, withTrouble, kinds));
}
