import type { Step } from "../job/jobTypes.ts";
import { estimateOf, type JobValue } from "../schedule/jobValue.ts";
import { stepKey, type WaitingGroup, type WorkerView } from "../schedule/scheduleTypes.ts";

/** Time that a placed group needs until all its tasks have started, in milliseconds. */
const START_MS = 300;

/**
 * Factor by which a learned speed must exceed what a group needs. The mean of some ten tasks that vary by 30 percent is off
 * by a tenth at times, and the objectives of urgent groups need little more than slow workers have.
 */
const SPEED_MARGIN = 1.15;

/**
 * The factor that workers need for a group to end within its objective if it starts now. Infinite if no worker is fast
 * enough, as the objective is over.
 */
export function neededSpeedOf(step: Step, { objectiveAtMs }: JobValue, nowMs: number): number {
    const leftMs = objectiveAtMs - nowMs - START_MS;
    return leftMs > 0 ? (SPEED_MARGIN * estimateOf(step)) / leftMs : Infinity;
}

/** Tasks of one step that are started for the speed of a worker; one alone may differ by 30 percent for other reasons. */
const TASKS_TO_LEARN = 2;

/**
 * How much a worker falls short of the factor that a group needs, for the order of candidates: 0 if it suffices; otherwise
 * above 0, and greater for slower workers. Below 0 for a few tasks without haste on a worker of unknown speed: such tasks
 * come first there, as only they tell its speed, and a tight fit alone would leave half of the workers unknown.
 */
export function speedShortfall(
    { speed = 1, isSpeedUnknown = false, tasksByStep }: WorkerView,
    { neededSpeed = 0, group, job }: WaitingGroup,
): number {
    if (speed < neededSpeed) {
        return 1 / speed;
    }
    const { gang, longRunning } = group.step;
    if (!isSpeedUnknown || gang || longRunning) {
        return 0;
    }
    return (tasksByStep.get(stepKey(job.id, group)) ?? 0) < TASKS_TO_LEARN ? -1 : 0;
}
