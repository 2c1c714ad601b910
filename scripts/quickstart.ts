/**
 * Command `npm run quickstart`: starts the environments of two firms as processes on loopback, sends requests and gang
 * jobs, and checks the results. The last line of its output is JSON; the exit status is 1 if a check failed.
 */
import { mkdtempSync, rmSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { bundlePrograms } from "@tanagerdeck/standins/processes/programBundle";
import { applyWithCli } from "./quickstart/applyWithCli.ts";
import { startEntries, startRunners, startWorkers, waitUntilServing } from "./quickstart/environment.ts";
import { FIRMS } from "./quickstart/firms.ts";
import { sendJobs } from "./quickstart/jobs.ts";
import { sendRequests } from "./quickstart/requests.ts";

const REQUESTS_PER_FIRM = 60;
const JOBS_PER_FIRM = 6;
const ANY_PORT = "127.0.0.1:0";

/** Totals of both environments, printed as the last line of the output. */
interface QuickstartResult {
    processes: number;
    requests: number;
    answered: number;
    duplicated: number;
    gangs: number;
    gangsWhole: number;
    gangsPartial: number;
}

const programs = mkdtempSync(join(tmpdir(), "tanagerdeck-programs-"));
await bundlePrograms(programs);
const group = createProcessGroup({ programs });
const result: QuickstartResult = {
    processes: 0,
    requests: 0,
    answered: 0,
    duplicated: 0,
    gangs: 0,
    gangsWhole: 0,
    gangsPartial: 0,
};
try {
    const platform = await group.start("platform", {
        name: "platform",
        address: ANY_PORT,
        controlAddress: ANY_PORT,
    });
    for (const firm of FIRMS) {
        printLine(`Starting the environment ${firm.environment}.`);
        const environment = await startEntries(group, firm, platform.addresses.address!);
        await Promise.all([startRunners(group, environment), startWorkers(group, environment)]);
        printLine(await applyWithCli(group.folder, programs, environment));
        await waitUntilServing(environment);
        const [requests, jobs] = await Promise.all([
            sendRequests(group, environment, REQUESTS_PER_FIRM),
            sendJobs(group, environment, JOBS_PER_FIRM),
        ]);
        result.requests += requests.requests;
        result.answered += requests.answered;
        result.duplicated += requests.duplicated;
        result.gangs += jobs.gangs;
        result.gangsWhole += jobs.gangsWhole;
        result.gangsPartial += jobs.gangsPartial;
        for (const problem of [...requests.problems, ...jobs.problems]) {
            printLine(problem);
        }
        printLine(`${requests.answered} of ${requests.requests} requests were answered.`);
        printLine(`${jobs.gangsWhole} of ${jobs.gangs} gangs were whole.`);
    }
    result.processes = group.processes().length;
} catch (error) {
    printLine(String(error));
    process.exitCode = 1;
} finally {
    await group.stopAll();
    rmSync(programs, { recursive: true, force: true });
}
if (result.requests === 0 || result.answered !== result.requests || result.duplicated > 0) {
    process.exitCode = 1;
}
if (result.gangs === 0 || result.gangsWhole !== result.gangs || result.gangsPartial > 0) {
    process.exitCode = 1;
}
process.stdout.write(`${JSON.stringify(result)}\n`);

function printLine(line: string): void {
    process.stdout.write(`${line}\n`);
}
