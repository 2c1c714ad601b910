import { Left, Right, type Either } from "purify-ts/Either";
import type {
    WorkerAcceptance,
    WorkerHoldOrder,
    WorkerRunLists,
    WorkerPort,
    WorkerRefusal,
    WorkerStartOrder,
    WorkerStopOrder,
} from "@tanagerdeck/backend/agent/workerPort";
import type { EndedTask, RunningTask, StartRefusal } from "@tanagerdeck/decisions/worker/workerReport";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";

/** How the worker treats calls: it answers, does not answer, or its address refuses connections. */
export type CallBehaviour = "answers" | "silent" | "refuses-connections";

/** A worker whose lists and answers are set by a test; it records the calls that it receives. */
export interface ScriptedWorker extends WorkerPort {
    behaviour: CallBehaviour;
    /** Time for which the answer to a start or stop is on its way; the worker has carried the call out before. */
    answerDelayMs: number;
    /** A call that names another id is refused. */
    id: string;
    bornMs: number;
    running: RunningTask[];
    ended: EndedTask[];
    /** Reason with which starts are refused; undefined if they are accepted. */
    startRefusal: StartRefusal | undefined;
    starts: WorkerStartOrder[];
    stops: WorkerStopOrder[];
    holds: WorkerHoldOrder[];
    /** The worker's clock when the given clock was at 0; a new boot's clock starts again. */
    clockOffsetMs: number;
    clockMs(): number;
}

/** Time after which an unanswered call fails. */
const TIMEOUT_MS = 600;
/** Ends that the worker lists at once. */
const LISTED_ENDS = 500;

/** Builds a worker whose clock advances with the given one. */
export function createScriptedWorker(clock: Clock): ScriptedWorker {
    function answer<T>(read: () => T): Promise<Either<Failure, T>> {
        if (worker.behaviour === "refuses-connections") {
            return Promise.resolve(Left(failure("not-run", "unreachable", "The connection was refused.")));
        }
        if (worker.behaviour === "silent") {
            return new Promise(resolve =>
                clock.startTimer(TIMEOUT_MS, () =>
                    resolve(Left(failure("may-have-run", "unreachable", "The call timed out."))),
                ),
            );
        }
        return Promise.resolve(Right(read()));
    }

    function answerOrder<T>(read: () => T): Promise<Either<Failure, T>> {
        const { answerDelayMs } = worker;
        const answered = answer(read);
        return answerDelayMs === 0
            ? answered
            : new Promise(resolve => clock.startTimer(answerDelayMs, () => resolve(answered)));
    }

    const accepted = (): WorkerAcceptance => ({ kind: "accepted", clockMs: worker.clockMs() });
    const worker: ScriptedWorker = {
        behaviour: "answers",
        answerDelayMs: 0,
        id: "i-1",
        bornMs: 1_000,
        running: [],
        ended: [],
        startRefusal: undefined,
        starts: [],
        stops: [],
        holds: [],
        clockOffsetMs: 5_000_000,
        clockMs: () => worker.clockOffsetMs + clock.now(),
        start(order) {
            worker.starts.push(order);
            return answerOrder((): WorkerAcceptance | WorkerRefusal =>
                worker.startRefusal ? { kind: "refused", reason: worker.startRefusal } : accepted(),
            );
        },
        stop(order) {
            worker.stops.push(order);
            return answerOrder(accepted);
        },
        async hold(order) {
            worker.holds.push(order);
            const lists = (): WorkerRunLists | WorkerRefusal =>
                order.id === undefined || order.id === worker.id
                    ? {
                          kind: "lists",
                          clockMs: worker.clockMs(),
                          bornMs: worker.bornMs,
                          running: worker.running,
                          ended: worker.ended
                              .filter(row => row.number > order.recorded)
                              .slice(0, LISTED_ENDS),
                      }
                    : { kind: "refused", reason: "other-boot" };
            const hasEnds = worker.ended.some(row => row.number > order.recorded);
            if (order.waitMs > 0 && worker.behaviour === "answers" && !hasEnds) {
                await new Promise<void>(resolve => clock.startTimer(order.waitMs, resolve));
            }
            return answer(lists);
        },
    };
    return worker;
}
