import type { CommitRequest } from "@tanagerdeck/decisions/gang/gangTypes";
import { attemptKey } from "@tanagerdeck/decisions/gang/gangTypes";
import type { ComputingInterval, WorkerModel } from "../worker/workerModel.ts";

/** Computing intervals of one part of a gang. */
export interface PartIntervals {
    intervals: ComputingInterval[];
}

/**
 * Longest time for which one part of an attempt computed while another part did not.
 * A part that has finished its work does not count as missing.
 */
export function longestPartialRunMs(
    workers: WorkerModel[],
    commitments: CommitRequest[],
    now: number,
): number {
    let longest = 0;
    for (const commitment of commitments) {
        const key = attemptKey(commitment);
        const parts = commitment.members.map(member => {
            const position = Number(member.agent.split("-").at(-1));
            const intervals = workers[position]!.intervals.filter(({ id }) => id === key);
            return { intervals };
        });
        longest = Math.max(longest, longestPartialRunOfParts(parts, now));
    }
    return longest;
}

/** Describes each pair of tasks that computed on the same accelerator at the same time. */
export function doubleAllocations(workers: WorkerModel[], now: number): string[] {
    const found: string[] = [];
    for (const [position, { intervals }] of workers.entries()) {
        for (const [firstIndex, first] of intervals.entries()) {
            for (const second of intervals.slice(firstIndex + 1)) {
                const shared = first.indexes.some(index => second.indexes.includes(index));
                const overlaps = first.begin < (second.end ?? now) && second.begin < (first.end ?? now);
                if (shared && overlaps && first !== second) {
                    found.push(`worker ${position}: ${first.id} and ${second.id}`);
                }
            }
        }
    }
    return found;
}

/** Whether a task of the gang has computed in the given attempt, or in any attempt if none is given. */
export function hasComputed(workers: WorkerModel[], gang: string, attempt?: number): boolean {
    const prefix = attempt === undefined ? `${gang}#` : `${gang}#${attempt}`;
    return workers.some(({ intervals }) =>
        intervals.some(({ id }) => (attempt === undefined ? id.startsWith(prefix) : id === prefix)),
    );
}

/** Longest time for which one of the parts computed while another neither computed nor had finished. */
export function longestPartialRunOfParts(parts: PartIntervals[], now: number): number {
    const times = new Set<number>();
    for (const { intervals } of parts) {
        for (const { begin, end } of intervals) {
            times.add(begin);
            times.add(end ?? now);
        }
    }
    const sorted = [...times].sort((a, b) => a - b);
    const partialMs = parts.map(() => 0);
    let longest = 0;
    for (const [position, begin] of sorted.entries()) {
        const end = sorted[position + 1];
        if (end === undefined) {
            break;
        }
        const computing = parts.map(part => isComputing(part, begin, now));
        const isWhole = parts.every((part, index) => computing[index] || hasFinished(part, begin));
        for (const [index, active] of computing.entries()) {
            partialMs[index] = active && !isWhole ? partialMs[index]! + end - begin : 0;
            longest = Math.max(longest, partialMs[index]!);
        }
    }
    return longest;
}

function isComputing({ intervals }: PartIntervals, at: number, now: number): boolean {
    return intervals.some(({ begin, end }) => begin <= at && at < (end ?? now));
}

function hasFinished({ intervals }: PartIntervals, at: number): boolean {
    return intervals.some(({ end, finished }) => finished && end !== undefined && end <= at);
}
