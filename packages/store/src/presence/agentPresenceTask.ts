import type { Either } from "purify-ts/Either";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { startTask, type Task } from "@tanagerdeck/runtime/task/task";
import type { CommitReply } from "../keyvalue/keyValueTypes.ts";
import { encodeContent } from "../replica/storedValueCodec.ts";
import type { PresenceOptions } from "./presenceTask.ts";

/** Messages of the agent's presence task. */
export type AgentPresenceMessage =
    | { kind: "check" }
    /** The leader has called this agent, so it knows the address. */
    | { kind: "called" }
    | { kind: "registered"; result: Either<Failure, CommitReply> };

interface AgentPresenceState {
    lastContactAt: number;
    isWriting: boolean;
}

const CHECK_MS = 500;
/** If the leader has not called for this time, the agent writes its registration again. */
const REREGISTER_AFTER_MS = 4_000;

/**
 * Starts the task that publishes the agent's address to the leader. The registration has no lease, so that many
 * agents cause no renewal traffic; an agent that the leader does not call writes its registration again.
 */
export function startAgentPresenceTask(options: PresenceOptions): Task<AgentPresenceMessage> {
    const { store, key, registration, clock, log, newWriteId } = options;
    const task = startTask<AgentPresenceState, AgentPresenceMessage>({
        name: "presence",
        clock,
        reportError: (name, error) => log.error("A handler failed.", { task: name, error: String(error) }),
        state: { lastContactAt: clock.now() - REREGISTER_AFTER_MS, isWriting: false },
        handlers: {
            check(state, _message, context) {
                context.after(CHECK_MS, { kind: "check" });
                if (state.isWriting || clock.now() - state.lastContactAt < REREGISTER_AFTER_MS) {
                    return;
                }
                state.isWriting = true;
                const value = encodeContent("registration", registration, newWriteId());
                context.start(
                    () => store.commit({ expected: [], puts: [{ key, value }], removes: [] }),
                    result => ({ kind: "registered", result }),
                );
            },
            called(state) {
                state.lastContactAt = clock.now();
            },
            registered(state, { result }) {
                state.isWriting = false;
                if (result.isRight()) {
                    state.lastContactAt = clock.now();
                    log.info("The agent is registered.", { key, address: registration.address });
                }
            },
        },
    });
    task.send({ kind: "check" });
    return task;
}
