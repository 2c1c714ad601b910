import { addResources, subtractResources, type Resources } from "@tanagerdeck/decisions/job/jobTypes";
import { parseTaskName } from "@tanagerdeck/decisions/job/taskGroups";
import type { InvariantName } from "@tanagerdeck/standins/emulator/invariantChecker";
import type { CallerJob } from "@tanagerdeck/standins/emulator/emulatedCaller";
import { stepsOf } from "@tanagerdeck/standins/emulator/jobBody";
import type { EmulatorEvent, TaskScript, WorkerEvent } from "@tanagerdeck/standins/emulator/taskTypes";
import type { SoakJob } from "./soakCallers.ts";

/** Name, labels and capacity of a worker. */
export interface CheckedWorker {
    name: string;
    labels: string[];
    capacity: Resources;
}

/** What the check reads and where it reports. */
export interface ProgressCheckOptions {
    jobs: Map<string, SoakJob>;
    /** All workers; filled before the first task starts. */
    workers: CheckedWorker[];
    /** Number of attempts of a queue. */
    attemptsOf: (queue: string) => number;
    /** Unix time of the zero point of the events' clock. */
    clockOriginMs: number;
    reportViolation: (promise: InvariantName, detail: string, atMs: number) => void;
}

/** Times at which the bounds begin to hold; undefined while they do not. */
export interface CheckedPeriods {
    /** No fault has been active since then. */
    calmSince: number | undefined;
    /** The system has had time to recover from the last fault. */
    recoveredSince: number | undefined;
}

/** Checks the placement of tasks and the shown states of jobs against the events of the workers. */
export interface ProgressCheck {
    /** Applies an event of a worker and checks starts. */
    observe(event: EmulatorEvent): void;
    /** Checks that tasks that may run are placed in time. Called at least every 100 ms; events are checked, too. */
    check(nowMs: number, periods: CheckedPeriods): void;
    /** Checks a shown state. */
    checkState(soakJob: SoakJob, state: string | undefined, atMs: number): void;
    /** Whether all tasks of a job are done. */
    isDone(job: CallerJob): boolean;
    /**
     * Time for which the bound of waiting jobs held (`enabled`), and for which a job or a long-running task waited under
     * a bound.
     */
    checkedMs: { enabled: number; waitingJob: number; longRunning: number };
}

interface Group {
    name: string;
    occurrence: number;
    stepIndex: number;
    script: TaskScript;
    /** Number of tasks that run together. */
    size: number;
    /** Worker of each running task. */
    runningOn: Map<string, string>;
    failedRuns: Set<number>;
    /** Failed runs whose ends the system has acknowledged. */
    recordedFailures: Set<number>;
    /** Latest run that has started after the last attempt had failed, with the runs that had failed by then. */
    excess: { run: number; failedBefore: number[] } | undefined;
    isDone: boolean;
    startedAt: number;
    endedAt: number | undefined;
    /** Number of runs that a crash of the worker has ended, by task: all of them, and those soon after the start. */
    crashes: Map<string, { total: number; atStart: number }>;
    /** Time since which the bounds of a long-running task have held without the task running. */
    waitingSince: { recovered: number | undefined; calm: number | undefined };
}

interface JobRecord {
    soakJob: SoakJob;
    groups: Group[];
    waitingSince: number | undefined;
}

/** Longest time for which a task that may run is not placed while there is room. */
const PLACEMENT_LIMIT_MS = 3_000;
/** Time after the last run of a long-running task in which it need not run. */
const RESTART_LIMIT_MS = 6_000;
/** Time without faults before the bound of a long-running task begins during the traffic. */
const CALM_MARGIN_MS = 4_000;
const EARLY_START_MS = 250;
/** A crash this soon after the start counts as one at the start; the agent's bound is 2 s after its own order. */
const START_CRASH_MS = 2_500;
/** Numbers of crashes after which the documentation allows a task to be given up. */
const MAX_CRASHES = 5;
const MAX_START_CRASHES = 3;
const NOTHING: Resources = { cpuMillis: 0, memoryMb: 0, gpus: 0 };

/** Builds the check of one run. */
export function createProgressCheck(options: ProgressCheckOptions): ProgressCheck {
    const { jobs, workers, attemptsOf, clockOriginMs, reportViolation } = options;
    const records = new Map<string, JobRecord>();
    const used = new Map<string, Resources>();
    /** Workers in evacuated zones; their capacity is no room. */
    const evacuated = new Set<string>();
    const checkedMs = { enabled: 0, waitingJob: 0, longRunning: 0 };
    let periods: CheckedPeriods = { calmSince: undefined, recoveredSince: undefined };
    let checkedAt = 0;

    function recordOf(id: string): JobRecord | undefined {
        const soakJob = jobs.get(id);
        if (!soakJob) {
            return undefined;
        }
        const record = records.get(id) ?? { soakJob, groups: groupsOf(soakJob.job), waitingSince: undefined };
        records.set(id, record);
        return record;
    }

    function observe(event: EmulatorEvent): void {
        if ("zone" in event) {
            for (const worker of event.workers) {
                evacuated[event.kind === "evacuated" ? "add" : "delete"](worker);
            }
        }
        if (!("task" in event)) {
            return;
        }
        const { kind, task, run, worker, end, atMs } = event;
        const name = parseTaskName(task);
        const record = name && recordOf(name.job);
        const group = record?.groups.find(
            ({ occurrence, stepIndex, name: key }) =>
                occurrence === name?.occurrence && stepIndex === name.stepIndex && isNameOf(key, task),
        );
        if (!record || !group) {
            return;
        }
        if (kind === "started") {
            checkStart(record, group, event);
            if (isExhausted(record, group)) {
                group.excess = { run, failedBefore: [...group.failedRuns] };
            }
            checkAttempts(record, group, atMs);
            group.runningOn.set(task, worker);
            group.startedAt = atMs;
            used.set(worker, addResources(used.get(worker) ?? NOTHING, resourcesOf(group.script)));
        } else if (kind === "ended" && group.runningOn.delete(task)) {
            used.set(worker, subtractResources(used.get(worker)!, resourcesOf(group.script)));
            group.endedAt = atMs;
            group.isDone ||= end === "done";
            if (end === "failed") {
                group.failedRuns.add(run);
            }
            if (end === "lost") {
                const { total, atStart } = group.crashes.get(task) ?? { total: 0, atStart: 0 };
                const isAtStart = atMs - group.startedAt < START_CRASH_MS;
                group.crashes.set(task, { total: total + 1, atStart: atStart + (isAtStart ? 1 : 0) });
            }
        }
        if (kind === "recorded" && end === "failed") {
            group.recordedFailures.add(run);
            checkAttempts(record, group, atMs);
        }
        checkPlacements(atMs);
    }

    function isExhausted({ soakJob }: JobRecord, { failedRuns, script }: Group): boolean {
        return !script.longRunning && failedRuns.size >= attemptsOf(soakJob.job.queue);
    }

    /** A run after the last attempt is reported once the ends of all earlier attempts are acknowledged. */
    function checkAttempts({ soakJob }: JobRecord, group: Group, atMs: number): void {
        const { excess, recordedFailures, name } = group;
        const known = excess?.failedBefore.filter(run => recordedFailures.has(run)) ?? [];
        if (excess && known.length >= attemptsOf(soakJob.job.queue)) {
            reportViolation("attempts", `${name} run ${excess.run} starts after its last attempt`, atMs);
            group.excess = undefined;
        }
    }

    function checkStart({ soakJob, groups }: JobRecord, group: Group, event: WorkerEvent): void {
        const { task, worker, atMs } = event;
        const { script } = group;
        if (!arePredecessorsDone(groups, group)) {
            reportViolation("order", `${task} starts before the steps that precede it are done`, atMs);
        }
        const earlyMs = dueAt(soakJob.job, group) - atMs;
        if (earlyMs > EARLY_START_MS) {
            reportViolation("order", `${task} starts ${Math.round(earlyMs)} ms before its due time`, atMs);
        }
        const labels = workers.find(({ name }) => name === worker)?.labels ?? [];
        if (script.requiredLabel !== undefined && !labels.includes(script.requiredLabel)) {
            reportViolation("order", `${task} starts on ${worker}, which lacks its label`, atMs);
        }
        if (tasksOfStepOn(worker, groups, group) >= (script.maxPerWorker ?? Infinity)) {
            reportViolation("order", `${task} starts on ${worker} beyond its step's limit`, atMs);
        }
    }

    function dueAt({ schedule }: CallerJob, { occurrence }: Group): number {
        return schedule ? schedule.firstDueMs + occurrence * schedule.intervalMs - clockOriginMs : 0;
    }

    /** Whether there is capacity for the group twice over on workers that may run it. */
    function hasRoomTwice(groups: Group[], group: Group): boolean {
        const { script } = group;
        const need = resourcesOf(script);
        let room = 0;
        for (const { name, labels, capacity } of workers) {
            const isLabelled = script.requiredLabel === undefined || labels.includes(script.requiredLabel);
            if (!isLabelled || evacuated.has(name)) {
                continue;
            }
            const free = subtractResources(capacity, used.get(name) ?? NOTHING);
            const allowed = (script.maxPerWorker ?? Infinity) - tasksOfStepOn(name, groups, group);
            room += Math.max(0, Math.min(allowed, Math.floor(timesIn(free, need))));
        }
        return room >= 2 * group.size;
    }

    function isUnderHalfUsed(): boolean {
        let totalCapacity = NOTHING;
        let inUse = NOTHING;
        for (const { name, capacity } of workers.filter(worker => !evacuated.has(worker.name))) {
            totalCapacity = addResources(totalCapacity, capacity);
            inUse = addResources(inUse, used.get(name) ?? NOTHING);
        }
        return timesIn(totalCapacity, inUse) > 2;
    }

    function hasFailed(record: JobRecord): boolean {
        return record.groups.some(group => isExhausted(record, group));
    }

    function checkPlacements(nowMs: number): void {
        const isUnderHalf = isUnderHalfUsed();
        const isRecovered = periods.recoveredSince !== undefined;
        const isCalm = periods.calmSince !== undefined && nowMs - periods.calmSince >= CALM_MARGIN_MS;
        let isJobChecked = false;
        let isLongRunningChecked = false;
        for (const id of jobs.keys()) {
            const record = recordOf(id)!;
            const { soakJob, groups } = record;
            const isOwed = soakJob.outcome === "accepted" && soakJob.cancelSentAtMs === undefined;
            if (!isOwed || soakJob.state === "failed" || soakJob.state === "completed" || hasFailed(record)) {
                record.waitingSince = undefined;
                resetLongRunning(groups);
                continue;
            }
            const waiting = groups.filter(
                group => mayRun(record, group, nowMs) && hasRoomTwice(groups, group),
            );
            const isIdle = groups.every(({ runningOn }) => runningOn.size === 0);
            const isChecked = isRecovered && isUnderHalf && isIdle && waiting.length > 0;
            record.waitingSince = isChecked ? (record.waitingSince ?? nowMs) : undefined;
            isJobChecked ||= isChecked;
            if (record.waitingSince !== undefined && nowMs - record.waitingSince >= PLACEMENT_LIMIT_MS) {
                reportWaiting(`${waiting[0]!.name} may run and has room, and nothing of its job runs`, nowMs);
                record.waitingSince = Infinity;
            }
            for (const group of groups) {
                if (!group.script.longRunning) {
                    continue;
                }
                const isWaiting =
                    waiting.includes(group) && nowMs - (group.endedAt ?? -Infinity) >= RESTART_LIMIT_MS;
                isLongRunningChecked ||= isWaiting && (isCalm || (isRecovered && isUnderHalf));
                checkLongRunning(group, isWaiting && isRecovered && isUnderHalf, "recovered", nowMs);
                checkLongRunning(group, isWaiting && isCalm, "calm", nowMs);
            }
        }
        const elapsedMs = checkedAt === 0 ? 0 : nowMs - checkedAt;
        checkedMs.enabled += isRecovered && isUnderHalf ? elapsedMs : 0;
        checkedMs.waitingJob += isJobChecked ? elapsedMs : 0;
        checkedMs.longRunning += isLongRunningChecked ? elapsedMs : 0;
        checkedAt = nowMs;
    }

    function checkLongRunning(
        group: Group,
        isBound: boolean,
        bound: keyof Group["waitingSince"],
        nowMs: number,
    ): void {
        group.waitingSince[bound] = isBound ? (group.waitingSince[bound] ?? nowMs) : undefined;
        if (nowMs - (group.waitingSince[bound] ?? nowMs) >= PLACEMENT_LIMIT_MS) {
            reportWaiting(`long-running ${group.name} may run and has room (${bound})`, nowMs);
            group.waitingSince[bound] = Infinity;
        }
    }

    function reportWaiting(detail: string, nowMs: number): void {
        reportViolation("progress", `${detail}, for ${PLACEMENT_LIMIT_MS} ms`, nowMs);
    }

    /** Whether the group's turn has come and it does not run. */
    function mayRun({ soakJob, groups }: JobRecord, group: Group, nowMs: number): boolean {
        return (
            !group.isDone &&
            group.runningOn.size === 0 &&
            dueAt(soakJob.job, group) <= nowMs &&
            arePredecessorsDone(groups, group)
        );
    }

    return {
        checkedMs,
        observe,
        check(nowMs, current) {
            periods = current;
            checkPlacements(nowMs);
        },
        checkState(soakJob, state, atMs) {
            const record = recordOf(soakJob.job.id);
            if (!record) {
                return;
            }
            const { id } = soakJob.job;
            if (state === "completed" && !isAllDone(record.groups)) {
                reportViolation("true-state", `${id} is shown as completed before its tasks are done`, atMs);
            }
            if (state === "failed" && !hasFailed(record) && !record.groups.some(mayBeGivenUp)) {
                reportViolation("true-state", `${id} is shown as failed with attempts left`, atMs);
            }
            if (state === "cancelled" && soakJob.cancelSentAtMs === undefined) {
                reportViolation("true-state", `${id} is shown as cancelled without a cancellation`, atMs);
            }
        },
        isDone: job => isAllDone(recordOf(job.id)?.groups ?? []),
    };
}

function groupsOf(job: CallerJob): Group[] {
    const groups: Group[] = [];
    for (let occurrence = 0; occurrence < (job.schedule?.occurrences ?? 1); occurrence++) {
        for (const [stepIndex, { tasks, script }] of stepsOf(job).entries()) {
            const isGang = script.gang > 1;
            const step = `${job.id}.${occurrence}.${stepIndex}`;
            for (let index = 0; index < (isGang ? 1 : tasks); index++) {
                groups.push({
                    name: isGang ? step : `${step}.${index}`,
                    occurrence,
                    stepIndex,
                    script,
                    size: isGang ? tasks : 1,
                    runningOn: new Map(),
                    failedRuns: new Set(),
                    recordedFailures: new Set(),
                    excess: undefined,
                    isDone: false,
                    startedAt: 0,
                    endedAt: undefined,
                    crashes: new Map(),
                    waitingSince: { recovered: undefined, calm: undefined },
                });
            }
        }
    }
    return groups;
}

function isNameOf(key: string, task: string): boolean {
    return task === key || task.startsWith(`${key}.`);
}

function isAllDone(groups: Group[]): boolean {
    return groups.length > 0 && groups.every(({ isDone }) => isDone);
}

/** An end as done counts even if a crash of its worker has lost it, so the check is lenient for the repeat. */
function arePredecessorsDone(groups: Group[], { occurrence, script }: Group): boolean {
    const after = script.after ?? [];
    return groups.every(
        group => group.occurrence !== occurrence || !after.includes(group.stepIndex) || group.isDone,
    );
}

function tasksOfStepOn(worker: string, groups: Group[], { occurrence, stepIndex }: Group): number {
    let count = 0;
    for (const group of groups) {
        if (group.occurrence === occurrence && group.stepIndex === stepIndex) {
            count += [...group.runningOn.values()].filter(name => name === worker).length;
        }
    }
    return count;
}

function mayBeGivenUp({ crashes, script }: Group): boolean {
    return [...crashes.values()].some(
        ({ total, atStart }) => atStart >= MAX_START_CRASHES || (!script.longRunning && total >= MAX_CRASHES),
    );
}

function resetLongRunning(groups: Group[]): void {
    for (const group of groups) {
        group.waitingSince = { recovered: undefined, calm: undefined };
    }
}

function resourcesOf({ cpuMillis, memoryMb = 0, gpus }: TaskScript): Resources {
    return { cpuMillis, memoryMb, gpus };
}

/** How many times `need` fits into `free`, as a fraction. */
function timesIn(free: Resources, need: Resources): number {
    const ratio = (total: number, part: number): number => (part === 0 ? Infinity : total / part);
    return Math.min(
        ratio(free.cpuMillis, need.cpuMillis),
        ratio(free.memoryMb, need.memoryMb),
        ratio(free.gpus, need.gpus),
    );
}
