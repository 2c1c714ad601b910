import type { ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { pollUntil } from "@tanagerdeck/standins/processes/polling";
import type { CallerReport, CallerSettings } from "@tanagerdeck/standins/programs/callerProgram";
import type { Environment } from "./environment.ts";

const ANY_PORT = "127.0.0.1:0";
const JOB_TIMEOUT_MS = 40_000;
const CALLER_TIMEOUT_MS = 50_000;

/** The requests and jobs that one caller process sends, with its name and token. */
export type CallerWorkload = Pick<CallerSettings, "name" | "token" | "requests" | "jobs">;

/** Starts a caller process and resolves with its report when all its requests and jobs have ended. */
export async function runCaller(
    group: ProcessGroup,
    { entries }: Environment,
    workload: CallerWorkload,
): Promise<CallerReport> {
    const settings: CallerSettings = {
        ...workload,
        address: ANY_PORT,
        controlAddress: ANY_PORT,
        addresses: entries.map(entry => entry.addresses.callerAddress!),
        jobLimitMs: JOB_TIMEOUT_MS,
    };
    const caller = await group.start("caller", settings);
    let report: CallerReport | undefined;
    await pollUntil(
        async () => {
            report = await readControl<CallerReport>(caller.addresses.controlAddress!, "/report");
            return report.ended;
        },
        CALLER_TIMEOUT_MS,
        `the end of ${workload.name}`,
    );
    return report!;
}

/** Reads JSON from the control address of a stand-in. */
export async function readControl<T>(address: string, path: string): Promise<T> {
    const response = await fetch(`http://${address}${path}`);
    return (await response.json()) as T;
}
