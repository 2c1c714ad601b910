import { setTimeout as delay } from "node:timers/promises";
import { expect } from "chai";
import { MAX_PARTIAL_RUN_MS } from "@tanagerdeck/decisions/gang/gangTypes";
import type { JobStatus } from "@tanagerdeck/decisions/gang/jobTypes";
import { longestPartialRunOfParts } from "@tanagerdeck/standins/gang/gangMeasures";
import type { ChildProcess, ProcessSignal } from "@tanagerdeck/standins/processes/childProcess";
import { pollUntil } from "@tanagerdeck/standins/processes/polling";
import type { ComputingInterval } from "@tanagerdeck/standins/worker/workerModel";
import {
    createDocument,
    intervalsOf,
    jobStatus,
    startDeployment,
    type Deployment,
} from "@tanagerdeck/standins/processes/processDeployment";

/** Longer than the run lease of a gang's parts (3 s), shorter than the registration lease of an entry (10 s). */
const FREEZE_MS = 6_000;
/**
 * Sum of the specified times from the loss of a part to the end of the next attempt: two rounds of the anchor
 * (2 s), stop of the former attempt (6 s), report of its end (2 s), backoff (2 s), reservation (4.5 s), prepare
 * and start (2 s), the run itself (1.5 s) and the report of its end (2 s).
 */
const END_LIMIT_MS = 22_000;
/** An unreachable anchor counts as lost 60 s after the time for its parts to stop (4 s). */
const ANCHOR_LOST_MS = 64_000;
/** An entry counts as gone when its lease (10 s) has expired and it was absent for 10 s; the list is read every 5 s. */
const ENTRY_GONE_MS = 25_000;
const RUN_MS = 1_500;
const PARTS = 2;

/** A process that takes part in a gang and that a test kills or freezes. */
type FaultTarget =
    "anchor's agent" | "member's agent" | "worker" | "coordinating entry" | "caller" | "platform";

/** Specified time to detect the loss of a process, in addition to the time for a part that `END_LIMIT_MS` includes. */
const LOSS_DETECTION_MS: Record<FaultTarget, number> = {
    "anchor's agent": ANCHOR_LOST_MS,
    "member's agent": 0,
    worker: 0,
    "coordinating entry": ENTRY_GONE_MS,
    caller: 0,
    platform: 0,
};

/** A submitted gang: its job id, the indexes of the workers that compute it, and its caller. */
interface RunningGang {
    id: string;
    members: number[];
    caller: ChildProcess;
}

// Guards against a part that computes without the other for too long, and a false verdict, when one of the processes
// that run a gang is killed or frozen.
describe("invariant 2: no part of a gang runs without the rest (processes)", function () {
    this.timeout(120_000);
    let deployment: Deployment;
    let recordedIntervals: Map<string, ComputingInterval[]>;
    let nextJobNumber = 0;

    before(async () => {
        deployment = await startDeployment();
        expect((await deployment.apply(createDocument(1), 0)).status).to.equal(200);
    });
    beforeEach(async () => {
        recordedIntervals = new Map();
        await deployment.restartEnded();
        await deployment.waitUntilServing();
    });
    after(() => deployment.stop());

    describe("step: run", () => {
        for (const target of ["anchor's agent", "member's agent", "worker", "caller"] as const) {
            it(`fault: ${target} killed: whole or stopped, and the job ends with its truth`, () =>
                checkFault(target, "SIGKILL"));
        }
        it("fault: coordinating entry killed: whole or stopped, and the job ends with its truth", () =>
            checkFault("coordinating entry", "SIGKILL"));
        for (const target of ["member's agent", "worker", "coordinating entry", "caller"] as const) {
            it(`fault: ${target} frozen past every lease: whole or stopped, and the job ends with its truth`, () =>
                checkFault(target, "SIGSTOP"));
        }
    });

    describe("step: placement", () => {
        it("fault: platform frozen and resumed: whole, and the job ends with its truth", async () => {
            deployment.platform.signal("SIGSTOP");
            const resumed = delay(FREEZE_MS).then(() => deployment.platform.signal("SIGCONT"));
            const gang = await startGang(false);
            await resumed;
            await expectVerdictMatchesExecution(gang.id, END_LIMIT_MS);
        });
    });

    async function checkFault(target: FaultTarget, signal: ProcessSignal): Promise<void> {
        const gang = await startGang(true);
        const child = await findTarget(target, gang);
        child.signal(signal);
        if (signal === "SIGSTOP") {
            await delay(FREEZE_MS);
            child.signal("SIGCONT");
        } else {
            await child.ended;
            closeRecordedIntervals(child.name);
        }
        await expectVerdictMatchesExecution(
            gang.id,
            signal === "SIGKILL" ? END_LIMIT_MS + LOSS_DETECTION_MS[target] : END_LIMIT_MS,
        );
    }

    /** Submits a gang of two workers. With `untilComputing` it resolves when all of its parts compute. */
    async function startGang(untilComputing: boolean): Promise<RunningGang> {
        const id = `job-${nextJobNumber++}`;
        const shape = { span: "rack", accelerators: PARTS * 8 };
        const job = { kind: "forecast", id, shape, seconds: 2, body: JSON.stringify({ ms: RUN_MS }) };
        const caller = await deployment.startCaller({ name: `caller-${id}`, jobs: [job] });
        const members: number[] = [];
        if (untilComputing) {
            const allComputing = async () => {
                const computing = await recordIntervals(id);
                members.splice(0, members.length, ...computing);
                return computing.length === PARTS;
            };
            await pollUntil(allComputing, END_LIMIT_MS, `${id} computing`);
        }
        return { id, members, caller };
    }

    /**
     * Records the computing intervals of a gang, so that those of a worker that is killed later are kept.
     * Returns the indexes of the workers that have computed a part.
     */
    async function recordIntervals(id: string): Promise<number[]> {
        const computing: number[] = [];
        for (const [index, worker] of deployment.workers.entries()) {
            const all = worker.running() ? await intervalsOf(worker).catch(() => undefined) : [];
            const own = all?.filter(interval => interval.id.includes(`/${id}#`));
            if (own?.length) {
                recordedIntervals.set(worker.name, own);
                computing.push(index);
            }
        }
        return computing;
    }

    /** Ends the open intervals of a worker that has exited; its last record may still show it as computing. */
    function closeRecordedIntervals(worker: string): void {
        const end = performance.timeOrigin + performance.now();
        const intervals = recordedIntervals.get(worker) ?? [];
        recordedIntervals.set(
            worker,
            intervals.map(interval => ({ ...interval, end: interval.end ?? end })),
        );
    }

    async function findTarget(target: FaultTarget, gang: RunningGang): Promise<ChildProcess> {
        const { entries, agents, workers, platform } = deployment;
        const [anchor = 0, member = 0] = gang.members;
        const targets: Record<FaultTarget, ChildProcess> = {
            "anchor's agent": agents[anchor]!,
            "member's agent": agents[member]!,
            worker: workers[member]!,
            // The caller submits the job to the first entry, which then coordinates it.
            "coordinating entry": entries[0]!,
            caller: gang.caller,
            platform,
        };
        return targets[target];
    }

    /**
     * Waits for the end of the job. Checks that its verdict is `ran` exactly if all parts of one attempt finished,
     * and that no part of any attempt computed for too long without the other.
     */
    async function expectVerdictMatchesExecution(id: string, limitMs: number): Promise<void> {
        let status: JobStatus | undefined;
        const ended = async () => {
            await recordIntervals(id);
            const entry = deployment.entries.find(candidate => candidate.running())!;
            status = await jobStatus(entry, id);
            return status.end !== undefined;
        };
        await pollUntil(ended, limitMs, `the end of ${id}`);
        await recordIntervals(id);
        const now = performance.timeOrigin + performance.now();
        const attempts = groupByAttempt();
        for (const parts of attempts) {
            const all = parts.length < PARTS ? [...parts, { intervals: [] }] : parts;
            expect(longestPartialRunOfParts(all, now), id).to.be.at.most(MAX_PARTIAL_RUN_MS);
        }
        const finishedTogether = attempts.some(
            parts =>
                parts.length === PARTS &&
                parts.every(({ intervals }) => intervals.some(({ finished }) => finished)),
        );
        expect(status!.end!.verdict === "ran", JSON.stringify(status)).to.equal(finishedTogether);
        expect(status!.end!.verdict, "a gang that has computed").to.not.equal("not-run");
    }

    /** Groups the recorded intervals by attempt and part. */
    function groupByAttempt(): { intervals: ComputingInterval[] }[][] {
        const attempts = new Map<string, { intervals: ComputingInterval[] }[]>();
        for (const all of recordedIntervals.values()) {
            for (const id of new Set(all.map(interval => interval.id))) {
                const intervals = all.filter(interval => interval.id === id);
                attempts.set(id, [...(attempts.get(id) ?? []), { intervals }]);
            }
        }
        return [...attempts.values()];
    }
});
