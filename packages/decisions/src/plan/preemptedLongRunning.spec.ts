import { expect } from "chai";
import { descriptionOf, jobOf, reportOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { groupProgress } from "../job/progressChange.ts";
import type { Resources, Step } from "../job/jobTypes.ts";
import { scheduleRound } from "../schedule/schedulingRound.ts";
import type { EndedTask, RunningTask } from "../worker/workerReport.ts";
import { addJob, createClusterState, getOrAddWorker, type ClusterState } from "./clusterState.ts";
import { applyReport } from "./planReport.ts";
import { applyDecision, buildRoundInput } from "./planRound.ts";

/** Guards against a preemption whose victims take their capacity back before all of them have stopped. */
describe("a group that preempts tasks that run until they are cancelled", () => {
    const ROUND_MS = 100;
    const WHOLE = resourcesOf(64, 8);
    const STOP_MS: Record<string, number> = { last1: 200, last2: 700 };
    const HALF = resourcesOf(32, 4);
    let cluster: ClusterState;
    let now: number;
    /** Running tasks by job, with the time at which a stop takes effect. */
    let tasks: Map<string, { worker: string; run: number; stopsAt: number | undefined }>;
    let workers: string[];
    let ended: Map<string, EndedTask[]>;

    beforeEach(() => {
        now = 0;
        cluster = createClusterState();
        tasks = new Map();
        ended = new Map([
            ["1a", []],
            ["1b", []],
        ]);
    });

    function reportAll(): void {
        for (const name of workers) {
            const ends = ended.get(name)!;
            const running: RunningTask[] = [];
            for (const [job, { run, stopsAt }] of [...tasks].filter(([, task]) => task.worker === name)) {
                if (stopsAt !== undefined && now >= stopsAt) {
                    ends.push({ number: ends.length + 1, task: `${job}.0.0.0`, run, end: "stopped" });
                    tasks.delete(job);
                } else {
                    running.push({ task: `${job}.0.0.0`, run, percent: 100 });
                }
            }
            const worker = getOrAddWorker(cluster, name, now);
            applyReport(cluster, worker, reportOf(descriptionOf(name), { running, ended: [...ends] }), now);
        }
        for (const entry of cluster.jobs.values()) {
            entry.recordedVersion = entry.version;
        }
    }

    function add(id: string, changes: Partial<Step>, priority: number): void {
        const terms = { priority, attempts: 4, stretch: 2, latencyTargetMs: 10_000 };
        addJob(cluster, jobOf(id, [stepOf(changes)], { terms, acceptedAtMs: now }), undefined, now);
    }

    function applyRound(takesAnyRoom: boolean | undefined): { preemptions: number; isGangPlaced: boolean } {
        const context = { now, wallMs: now, guaranteedGpus: () => 0, farFactor: 3 };
        const input = buildRoundInput(cluster, { ...context, termsOf: entry => entry.job.terms });
        const waiting = input.waiting.map(group => ({
            ...group,
            takesAnyRoom: takesAnyRoom ?? group.takesAnyRoom,
        }));
        let preemptions = 0;
        let isGangPlaced = false;
        for (const decision of scheduleRound({ ...input, waiting })) {
            applyDecision(cluster, decision, now);
            const { run } = groupProgress(cluster.jobs.get(decision.job)!.progress, decision.group);
            if (decision.kind === "preempt") {
                preemptions += 1;
                tasks.get(decision.job)!.stopsAt ??= now + STOP_MS[decision.job]!;
            } else if (decision.job === "gang") {
                isGangPlaced = true;
            } else if (decision.kind === "place") {
                tasks.set(decision.job, { worker: decision.places[0]!.worker, run, stopsAt: undefined });
            }
        }
        return { preemptions, isGangPlaced };
    }

    interface Case {
        names: string[];
        victim: Resources;
        blocked: Partial<Step>;
        takesAnyRoom?: boolean;
    }

    function play({ names, victim, blocked, takesAnyRoom }: Case): {
        placedAfterMs: number;
        preemptions: number;
    } {
        workers = names;
        reportAll();
        add("last1", { longRunning: true, resources: victim }, 2);
        add("last2", { longRunning: true, resources: victim }, 2);
        for (; now < 3_000; now += ROUND_MS) {
            applyRound(undefined);
            reportAll();
        }
        expect(tasks.size).to.equal(2);
        add("gang", { resources: WHOLE, estimateMs: 3_000, ...blocked }, 0);
        const startedAt = now;
        let preemptions = 0;
        for (; now - startedAt < 10_000; now += ROUND_MS) {
            const round = applyRound(takesAnyRoom);
            preemptions += round.preemptions;
            if (round.isGangPlaced) {
                return { placedAfterMs: now - startedAt, preemptions };
            }
            reportAll();
        }
        return { placedAfterMs: 10_000, preemptions };
    }

    const CASES: [string, Case][] = [
        ["a gang on two workers", { names: ["1a", "1b"], victim: WHOLE, blocked: { gang: true, count: 2 } }],
        ["a task on one worker", { names: ["1a"], victim: HALF, blocked: {} }],
    ];

    for (const [name, options] of CASES) {
        it(`starts once its two victims have stopped: ${name}`, () => {
            expect(play(options)).to.deep.equal({ placedAfterMs: 800, preemptions: 2 });
        });

        it(`starts once its two victims have stopped, if these leave planned places free: ${name}`, () => {
            expect(play({ ...options, takesAnyRoom: false })).to.deep.equal({
                placedAfterMs: 800,
                preemptions: 2,
            });
        });
    }
});
