import type { Either } from "purify-ts/Either";
import type { Boot } from "@tanagerdeck/decisions/job/progressTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bootOf, type AgentState } from "./agentState.ts";
import type { WorkerHeartbeat, WorkerRefusal, WorkerRunLists } from "./workerPort.ts";

/** Claims that are kept at once; a worker has one boot, so more of them come from other writers. */
const MAX_CLAIMS = 4;

/** Key of a boot in the map of claims. */
export function claimKey({ id, bornMs }: Boot): string {
    return `${id}@${bornMs}`;
}

/**
 * Keeps the heartbeat of a boot until the worker confirms that it is this boot. Returns whether the boot is new; a later
 * heartbeat of the same boot only replaces the earlier one.
 */
export function addClaim(state: AgentState, heartbeat: WorkerHeartbeat): boolean {
    const key = claimKey(bootOf(heartbeat));
    const known = state.claims.get(key);
    if (known) {
        if (heartbeat.sequence > known.sequence) {
            state.claims.set(key, heartbeat);
        }
        return false;
    }
    const [oldest] = state.claims.keys();
    if (oldest !== undefined && state.claims.size >= MAX_CLAIMS) {
        state.claims.delete(oldest);
    }
    state.claims.set(key, heartbeat);
    return true;
}

/** Drops the claims of a boot that leaves; without a start time, those of all boots with the id. */
export function dropClaims({ claims }: AgentState, id: string, bornMs: number | undefined): void {
    for (const [key, claim] of claims) {
        if (claim.id === id && (bornMs === undefined || claim.bornMs === bornMs)) {
            claims.delete(key);
        }
    }
}

/**
 * What the worker's answer to a call that names a boot says about this boot.
 * - `present`: the worker is this boot.
 * - `absent`: the worker is another boot.
 * - `unreachable`: nothing listens at the worker's address.
 * - `unknown`: the worker did not answer, or not to this question.
 */
export type BootPresence = "present" | "absent" | "unreachable" | "unknown";

/** Derives from the answer to a hold whether the worker is the boot that the hold named. */
export function presenceOf(
    boot: Boot,
    result: Either<Failure, WorkerRunLists | WorkerRefusal>,
): BootPresence {
    return result.caseOf<BootPresence>({
        Left: ({ verdict }) => (verdict === "not-run" ? "unreachable" : "unknown"),
        Right(answer) {
            if (answer.kind === "lists") {
                return answer.bornMs === boot.bornMs ? "present" : "absent";
            }
            return answer.reason === "other-boot" ? "absent" : "unknown";
        },
    });
}
