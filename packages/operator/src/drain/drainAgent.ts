import { Left, type Either } from "purify-ts/Either";
import type { AgentView } from "@tanagerdeck/decisions/routing/agentChoice";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Operations that the drain of a backend server calls. */
export interface DrainOperations {
    find(agent: string): Promise<AgentView | undefined>;
    /** Tells the agent at this address to refuse new work from now on. */
    drain(address: string): Promise<Either<Failure, { draining: true }>>;
    /** Called when the agent has confirmed the drain. */
    drained(agent: string): void;
}

/** Drains an agent's backend server. On success the agent has confirmed that it refuses new work. */
export async function drainAgent(
    operations: DrainOperations,
    agent: string,
): Promise<Either<Failure, { agent: string; draining: true }>> {
    const view = await operations.find(agent);
    if (!view || view.state === "gone" || view.state === "left") {
        return Left(failure("not-run", "not-found", `There is no agent "${agent}".`));
    }
    const result = await operations.drain(view.report.address);
    result.ifRight(() => operations.drained(agent));
    return result.map(() => ({ agent, draining: true }));
}
