import { setTimeout as delay } from "node:timers/promises";
import { createRequestClient, type ClientRequest } from "@tanagerdeck/caller/client/requestClient";
import type { CallerJob } from "@tanagerdeck/caller/job/jobTaskTypes";
import type { JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import { startControlListener } from "./controlListener.ts";
import { readStandinSettings, announceReady, type StandinSettings } from "./standinProgram.ts";

const REQUEST_CONCURRENCY = 8;
const JOB_POLL_INTERVAL_MS = 100;
const JOB_CALL_TIMEOUT_MS = 5_000;

/** Settings of the caller program: the requests and jobs that it sends. */
export interface CallerSettings extends StandinSettings {
    /** The entries' caller listeners as `ip:port`. */
    addresses: string[];
    token: string;
    requests: ClientRequest[];
    jobs: Omit<CallerJob, "clientAccount">[];
    /** Time after which a job counts as not ended. */
    jobLimitMs: number;
}

/** Outcome of one request; `whole` says whether the answer echoes the request's own body. */
export interface RequestReport {
    id: string;
    verdict: string;
    whole: boolean;
    detail: string;
}

/** End of one job; the verdict is absent if the job did not end in time. */
export interface JobReport {
    id: string;
    verdict?: string;
    detail: string;
}

/** Results that the caller program has received so far. */
export interface CallerReport {
    ended: boolean;
    requests: RequestReport[];
    jobs: JobReport[];
}

/** Runs a caller as a program: it sends requests and jobs and reports their outcomes at its control address. */
async function run(): Promise<void> {
    const settings = readStandinSettings() as CallerSettings;
    const report: CallerReport = { ended: false, requests: [], jobs: [] };
    const control = await startControlListener(settings.controlAddress, { "GET /report": () => report });
    announceReady({ controlAddress: control.address });
    await Promise.all([
        sendRequests(settings, report.requests),
        Promise.all(settings.jobs.map(async job => report.jobs.push(await followJob(settings, job)))),
    ]);
    report.ended = true;
}

async function sendRequests(settings: CallerSettings, reports: RequestReport[]): Promise<void> {
    const client = createRequestClient(settings);
    const queue = [...settings.requests];
    async function sendFromQueue(): Promise<void> {
        for (let request = queue.shift(); request; request = queue.shift()) {
            const { id, outcome } = await client.submit(request);
            const { verdict } = outcome;
            if (outcome.kind === "failure") {
                reports.push({ id, verdict, whole: false, detail: outcome.detail });
                continue;
            }
            const { echo } = JSON.parse(outcome.answer.body) as { echo?: string };
            reports.push({ id, verdict, whole: echo === request.body, detail: "" });
        }
    }
    await Promise.all(Array.from({ length: REQUEST_CONCURRENCY }, sendFromQueue));
    await client.close();
}

/** Submits a job, repeatedly under the same id until it is accepted, and polls its status until it ends. */
async function followJob(settings: CallerSettings, job: { id: string }): Promise<JobReport> {
    const { addresses, token, jobLimitMs } = settings;
    const path = `/v1/jobs/${encodeURIComponent(job.id)}`;
    const deadline = performance.now() + jobLimitMs;
    let accepted = false;
    let detail = "";
    for (let attempt = 0; performance.now() < deadline; attempt++) {
        try {
            const response = await fetch(
                `http://${addresses[attempt % addresses.length]}${accepted ? path : "/v1/jobs"}`,
                {
                    method: accepted ? "GET" : "POST",
                    headers: { authorization: `Bearer ${token}` },
                    body: accepted ? undefined : JSON.stringify(job),
                    signal: AbortSignal.timeout(JOB_CALL_TIMEOUT_MS),
                },
            );
            detail = await response.text();
            accepted ||= response.ok;
            const status = JSON.parse(detail) as Partial<JobStatus>;
            if (response.ok && status.end) {
                return { id: job.id, verdict: status.end.verdict, detail: status.end.detail };
            }
        } catch (error) {
            detail = String(error);
        }
        await delay(JOB_POLL_INTERVAL_MS);
    }
    return { id: job.id, detail: `no end in time: ${detail}` };
}

void run();
