import type { SyncReport } from "@tanagerdeck/decisions/worker/workerReport";
import type { Sessions } from "@tanagerdeck/peer/planner/plannerTypes";
import {
    startSessionTask,
    type SessionMessage,
    type SessionOptions,
} from "@tanagerdeck/peer/session/sessionTask";
import type { Task } from "@tanagerdeck/runtime/task/task";

/** The leader's sessions with the agents during one term. */
export interface SessionSet extends Sessions {
    close(): Promise<void>;
}

/** Dependencies shared by the sessions of a term. `reported` receives each report with the name of its agent. */
export interface SessionSetOptions extends Omit<SessionOptions, "agent" | "address" | "reported"> {
    reported: (agent: string, report: SyncReport) => void;
}

/** Creates a set that keeps one session task for each agent; grants are allowed until `grants(false)`. */
export function createSessionSet(options: SessionSetOptions): SessionSet {
    const sessions = new Map<string, Task<SessionMessage>>();
    let areGrantsAllowed = true;
    return {
        open(agent, address) {
            const existing = sessions.get(agent);
            if (existing) {
                existing.send({ kind: "address", address });
                return;
            }
            const { reported, ...shared } = options;
            const session = startSessionTask({
                ...shared,
                agent,
                address,
                reported: report => reported(agent, report),
            });
            session.send({ kind: "grants", isAllowed: areGrantsAllowed });
            sessions.set(agent, session);
        },
        order: (agent, orders) => sessions.get(agent)?.send({ kind: "order", orders }),
        grants(isAllowed) {
            areGrantsAllowed = isAllowed;
            for (const session of sessions.values()) {
                session.send({ kind: "grants", isAllowed });
            }
        },
        async close() {
            await Promise.all([...sessions.values()].map(session => session.stop()));
        },
    };
}
