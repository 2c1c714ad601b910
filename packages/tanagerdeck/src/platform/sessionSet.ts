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
    const withheld = new Set<string>();
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
            if (withheld.has(agent)) {
                // The first call carries no grant, as there is no report yet.
                void session.ask(reply => ({ kind: "withhold", reply }));
            }
            sessions.set(agent, session);
        },
        order: (agent, orders) => sessions.get(agent)?.send({ kind: "order", orders }),
        grants(isAllowed) {
            areGrantsAllowed = isAllowed;
            for (const session of sessions.values()) {
                session.send({ kind: "grants", isAllowed });
            }
        },
        async withhold(agent) {
            withheld.add(agent);
            await sessions.get(agent)?.ask(reply => ({ kind: "withhold", reply }));
        },
        release(agent) {
            withheld.delete(agent);
            sessions.get(agent)?.send({ kind: "release" });
        },
        async close() {
            await Promise.all([...sessions.values()].map(session => session.stop()));
        },
    };
}
