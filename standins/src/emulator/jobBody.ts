import type { CallerJob } from "./emulatedCaller.ts";
import { serializeScripts, type ScriptedStep } from "./taskTypes.ts";

/** The steps of a job. */
export function stepsOf({ steps, tasks, script }: CallerJob): ScriptedStep[] {
    return steps ?? [{ tasks, script }];
}

/** Encodes the body of a job's submission; fields without a value are omitted. */
export function encodeJob(job: CallerJob): object {
    const steps = stepsOf(job);
    const { schedule } = job;
    return {
        spec: serializeScripts(steps.map(({ script }) => script)),
        steps: steps.map(encodeStep),
        ...(schedule
            ? {
                  times: schedule.occurrences,
                  start_ms: schedule.firstDueMs,
                  interval_ms: schedule.intervalMs,
              }
            : {}),
    };
}

function encodeStep({ tasks, script }: ScriptedStep): object {
    const isGang = script.gang > 1;
    return {
        count: tasks,
        cpu: script.cpuMillis,
        mem_mb: script.memoryMb,
        gpu: script.gpus,
        estimate_ms: script.durationMs,
        after: script.after,
        gang: isGang || undefined,
        same_rack: (isGang && (script.sameRack ?? true)) || undefined,
        data_rack: script.dataRack,
        required_label: script.requiredLabel,
        max_per_server: script.maxPerWorker,
        checkpointing: script.checkpointing,
        long_running: script.longRunning,
    };
}
