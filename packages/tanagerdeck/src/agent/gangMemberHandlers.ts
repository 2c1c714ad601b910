import type { WorkerMessage } from "@tanagerdeck/backend/worker/workerTypes";
import type { AnchorMessage } from "@tanagerdeck/peer/gang/anchorTypes";
import type { GangHandlers } from "@tanagerdeck/peer/gang/gangHandlers";
import type { Task } from "@tanagerdeck/runtime/task/task";

/**
 * Creates the handlers of the gang calls to an agent. Calls about the parts on its own worker go to the worker task,
 * calls about a whole gang that this agent coordinates go to the anchor task.
 */
export function createGangMemberHandlers(
    worker: Task<WorkerMessage>,
    anchor: Task<AnchorMessage>,
): GangHandlers {
    return {
        reserve: reservation => worker.ask(reply => ({ kind: "reserve", reservation, reply })),
        release: reference => worker.ask(reply => ({ kind: "release", reference, reply })),
        prepare: preparation => worker.ask(reply => ({ kind: "prepare", preparation, reply })),
        start: order => worker.ask(reply => ({ kind: "start", order, reply })),
        renew: order => worker.ask(reply => ({ kind: "renew", order, reply })),
        stop: order => worker.ask(reply => ({ kind: "stop", order, reply })),
        commit: commitment => anchor.ask(reply => ({ kind: "commit", commitment, reply })),
        settleGang: settlement => anchor.ask(reply => ({ kind: "settle", settlement, reply })),
        reclaimGang: reference => anchor.ask(reply => ({ kind: "reclaim", reference, reply })),
    };
}
