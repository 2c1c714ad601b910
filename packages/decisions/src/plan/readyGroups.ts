import { countTasks } from "../job/jobSize.ts";
import { groupProgress } from "../job/progressChange.ts";
import { dueAtMs, type TaskGroup } from "../job/taskGroups.ts";
import type { JobEntry } from "./clusterState.ts";
import { isStepDone } from "./groupIndex.ts";
import { MAX_STARTING_TASKS } from "./planPace.ts";

/** What decides on the groups that may start, besides the job. */
export interface ReadyContext {
    /** The leader's monotonic and wall clocks in milliseconds. */
    now: number;
    wallMs: number;
    /** Tasks of a job of more than `MAX_STARTING_TASKS` that may be starting at once. */
    startingTasks?: number | undefined;
}

/** Groups of a job that may start now, and the number of those that wait until others of the job have started. */
export function readyGroups(
    entry: JobEntry,
    { now, wallMs, startingTasks = MAX_STARTING_TASKS }: ReadyContext,
): { groups: TaskGroup[]; withheld: number } {
    const steps: Set<TaskGroup>[] = [];
    let ready = 0;
    for (const waiting of entry.index.waiting.values()) {
        const [first] = waiting;
        if (first && isReady(entry, first, wallMs)) {
            steps.push(waiting);
            ready += waiting.size;
        }
    }
    const isLarge = countTasks(entry.job) > MAX_STARTING_TASKS;
    const limit = isLarge ? startingTasks - countStarting(entry) : Infinity;
    const groups = isLarge ? chooseGroups(steps, limit, now) : steps.flatMap(waiting => [...waiting]);
    // A group that runs again keeps its place among the others.
    groups.sort((left, right) => left.position - right.position);
    return { groups, withheld: ready - groups.length };
}

/** Time after which other steps of a large job come first, as those that came first may find no room. */
const STEP_ROTATION_MS = 100;

/** Chooses groups of about `limit` tasks, from each step a part, as one step may find no room where another does. */
function chooseGroups(steps: Set<TaskGroup>[], limit: number, now: number): TaskGroup[] {
    const groups: TaskGroup[] = [];
    const share = Math.ceil(limit / steps.length);
    const turn = Math.floor(now / STEP_ROTATION_MS);
    const offset = steps.length > MAX_STARTING_TASKS ? turn * MAX_STARTING_TASKS : turn;
    let chosen = 0;
    for (let number = 0; number < steps.length && chosen < limit; number++) {
        let ofStep = 0;
        for (const group of steps[(offset + number) % steps.length]!) {
            if (ofStep >= share) {
                break;
            }
            ofStep += group.indexes.length;
            groups.push(group);
        }
        chosen += ofStep;
    }
    return groups;
}

/** Number of a job's tasks in open runs that have not all started. */
function countStarting({ progress, runs }: JobEntry): number {
    let starting = 0;
    for (const [key, run] of runs) {
        starting += run.hasStarted ? 0 : groupProgress(progress, key).placements.length;
    }
    return starting;
}

/** Whether a waiting group may start now: its occurrence is due and the steps that it depends on are done. */
function isReady({ job, index }: JobEntry, { occurrence, step }: TaskGroup, wallMs: number): boolean {
    if (dueAtMs(job, occurrence) > wallMs) {
        return false;
    }
    return step.after.every(stepIndex => isStepDone(index, occurrence, stepIndex));
}
