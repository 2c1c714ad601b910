import { expect } from "chai";
import fc from "fast-check";
import { jobOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { plainScheduleRound } from "@tanagerdeck/standins/plan/plain/plainSchedulingRound";
import { taskGroupsOf } from "../job/taskGroups.ts";
import type { JobValue } from "./jobValue.ts";
import type { PlacedGroup, WaitingGroup, WorkerView } from "./scheduleTypes.ts";
import { scheduleRound, type RoundInput } from "./schedulingRound.ts";

const NOW_MS = 100_000;

const stepFields = fc.record({
    count: fc.integer({ min: 1, max: 6 }),
    cores: fc.integer({ min: 0, max: 30 }),
    gpus: fc.integer({ min: 0, max: 8 }),
    gang: fc.boolean(),
    sameRack: fc.boolean(),
    dataRack: fc.option(fc.constantFrom("r0", "r1"), { nil: undefined }),
    requiredLabel: fc.option(fc.constantFrom("a", "b"), { nil: undefined, freq: 4 }),
    maxPerWorker: fc.option(fc.integer({ min: 1, max: 3 }), { nil: undefined, freq: 4 }),
    estimateMs: fc.integer({ min: 200, max: 20_000 }),
    longRunning: fc.constantFrom(false, false, false, true),
});

const groupFields = fc.record({
    step: stepFields,
    service: fc.constantFrom("desk", "desk", "desk", "other"),
    priority: fc.integer({ min: 0, max: 2 }),
    isGuaranteed: fc.boolean(),
    slackMs: fc.integer({ min: -5_000, max: 30_000 }),
    failedOn: fc.uniqueArray(fc.integer({ min: 0, max: 7 }), { maxLength: 2 }),
    takesAnyRoom: fc.constantFrom(false, false, false, true),
    neededSpeed: fc.constantFrom(undefined, 0.5, 0.9, 1.4, Infinity),
    /** Position of the first worker, for placed groups. */
    at: fc.integer({ min: 0, max: 11 }),
    remainingMs: fc.integer({ min: 0, max: 9_000 }),
    lostCoreSeconds: fc.integer({ min: 0, max: 200 }),
    isClosing: fc.boolean(),
    checkpointing: fc.boolean(),
    leavesInMs: fc.option(fc.integer({ min: 0, max: 6_000 }), { nil: undefined }),
});

const workerFields = fc.record({
    service: fc.constantFrom("desk", "desk", "desk", "other"),
    label: fc.constantFrom("a", "b"),
    isSchedulable: fc.constantFrom(true, true, true, false),
    isQuarantined: fc.constantFrom(false, false, false, true),
    recentFaults: fc.constantFrom(0, 0, 0, 2),
    isCold: fc.constantFrom(false, false, true),
    hasRack: fc.constantFrom(true, true, true, false),
    speed: fc.constantFrom(undefined, 0.6, 1, 1.6),
    isSpeedUnknown: fc.constantFrom(false, false, true),
});

type GroupFields = typeof groupFields extends fc.Arbitrary<infer Fields> ? Fields : never;
type WorkerFields = typeof workerFields extends fc.Arbitrary<infer Fields> ? Fields : never;

function valueOf({ slackMs, step, priority }: GroupFields): JobValue {
    const objectiveAtMs = NOW_MS + step.estimateMs + slackMs;
    return {
        fullValue: 4 - priority,
        runMs: step.estimateMs,
        workCoreSeconds: 10 + step.count * step.gpus * 8,
        objectiveAtMs,
        zeroValueAtMs: objectiveAtMs + 10_000,
    };
}

/** Builds a cluster in which no worker is over its capacity; placed groups that do not fit are left out. */
function inputOf(workers: WorkerFields[], waiting: GroupFields[], placed: GroupFields[]): RoundInput {
    const capacity = { cpuMillis: 64_000, memoryMb: 128_000, gpus: 8 };
    const views: WorkerView[] = workers.map(({ service, label, hasRack, ...rest }, number) => ({
        name: `w${number}`,
        service,
        rack: hasRack ? `r${Math.floor(number / 3)}` : undefined,
        labels: [label],
        capacity,
        free: { ...capacity },
        closing: { cpuMillis: 0, memoryMb: 0, gpus: 0 },
        tasksByStep: new Map(),
        ...rest,
    }));
    const shared = (fields: GroupFields, number: number, kind: string) => {
        const { cores, gpus, ...rest } = fields.step;
        const step = { ...rest, checkpointing: fields.checkpointing };
        const resources = { cpuMillis: cores * 1_000, memoryMb: 1_000, gpus };
        const job = jobOf(`${kind}${number}`, [stepOf({ ...step, resources })], {
            service: fields.service,
        });
        const { priority, isGuaranteed } = fields;
        return { job, priority, isGuaranteed, value: valueOf(fields) };
    };
    const waitingGroups: WaitingGroup[] = waiting.flatMap((fields, number) => {
        const common = shared(fields, number, "waiting");
        const failedOn = new Set(fields.failedOn.map(position => `w${position}`));
        const { takesAnyRoom, neededSpeed } = fields;
        const own = { failedOn, takesAnyRoom, neededSpeed };
        return taskGroupsOf(common.job, 0).map(group => ({ ...common, ...own, group }));
    });
    const placedGroups: PlacedGroup[] = [];
    for (const [number, fields] of placed.entries()) {
        const common = shared(fields, number, "placed");
        const { isClosing, remainingMs, lostCoreSeconds, leavesInMs } = fields;
        const group = taskGroupsOf(common.job, 0)[0]!;
        const { cpuMillis, memoryMb, gpus } = group.step.resources;
        const hosts = group.indexes.map(index => views[(fields.at + index) % views.length]!);
        if (hosts.some(({ free }) => free.cpuMillis < 6 * cpuMillis || free.gpus < gpus * hosts.length)) {
            continue;
        }
        for (const host of hosts) {
            host.free.cpuMillis -= cpuMillis;
            host.free.memoryMb -= memoryMb;
            host.free.gpus -= gpus;
            if (isClosing) {
                host.closing.cpuMillis += cpuMillis;
                host.closing.memoryMb += memoryMb;
                host.closing.gpus += gpus;
            }
        }
        const workersOfGroup = hosts.map(({ name }) => name);
        const times = { remainingMs, leavesInMs, lostCoreSeconds, lostMs: 1_000 };
        placedGroups.push({ ...common, group, workers: workersOfGroup, isClosing, ...times });
    }
    return { nowMs: NOW_MS, workers: views, waiting: waitingGroups, placed: placedGroups, farFactor: 3 };
}

describe("the searches of a scheduling round", () => {
    describe("on random clusters", () => {
        it("decide as those that look at every worker anew", () => {
            fc.assert(
                fc.property(
                    fc.array(workerFields, { minLength: 1, maxLength: 12 }),
                    fc.array(groupFields, { maxLength: 14 }),
                    fc.array(groupFields, { maxLength: 24 }),
                    (workers, waiting, placed) => {
                        const decisions = scheduleRound(inputOf(workers, waiting, placed));
                        expect(decisions).to.deep.equal(
                            plainScheduleRound(inputOf(workers, waiting, placed)),
                        );
                    },
                ),
                { seed: 22, numRuns: 1_500 },
            );
        });
    });
});
