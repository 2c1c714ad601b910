import type { Either } from "purify-ts/Either";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Report, ReportReply } from "@tanagerdeck/decisions/fleet/reportTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import type { Log } from "@tanagerdeck/runtime/log/log";
import { startTask, type Handlers, type Task } from "@tanagerdeck/runtime/task/task";

/** Messages of the announcement task. */
export type AnnouncementMessage =
    | { kind: "announce" }
    | { kind: "replied"; entry: string; reply: Either<Failure, ReportReply> }
    | { kind: "fetched"; configuration: Either<Failure, Configuration | undefined> };

/** Dependencies of the announcement task. */
export interface AnnouncementOptions {
    seeds: string[];
    reportIntervalMs: number;
    clock: Clock;
    log: Log;
    /** Builds the current report. */
    report: () => Promise<Report>;
    send: (entry: string, report: Report) => Promise<Either<Failure, ReportReply>>;
    fetch: (entry: string, afterRevision: number) => Promise<Either<Failure, Configuration | undefined>>;
    adopted: (configuration: Configuration) => void;
}

interface State {
    entries: Set<string>;
    revision: number;
    options: AnnouncementOptions;
}

/** Starts the task that announces an agent to the entries and learns the configuration from them. */
export function startAnnouncementTask(options: AnnouncementOptions): Task<AnnouncementMessage> {
    const task = startTask<State, AnnouncementMessage>({
        name: "announcement",
        state: { entries: new Set(options.seeds), revision: 0, options },
        handlers,
        clock: options.clock,
        report: (_task, error) => options.log.error("A handler failed.", { error: String(error) }),
    });
    task.send({ kind: "announce" });
    return task;
}

const handlers: Handlers<State, AnnouncementMessage> = {
    announce(state, _message, context) {
        const { options } = state;
        const report = options.report();
        for (const entry of state.entries) {
            context.start(
                async () => options.send(entry, await report),
                reply => ({ kind: "replied", entry, reply }),
            );
        }
        context.after(options.reportIntervalMs, { kind: "announce" });
    },
    replied(state, message, context) {
        message.reply.ifLeft(problem =>
            state.options.log.warn("An entry did not answer.", { detail: problem.detail }),
        );
        message.reply.ifRight(reply => {
            if (reply.refusal) {
                state.options.log.error("An entry refused the announcement.", { reason: reply.refusal });
            }
            for (const address of reply.entries) {
                state.entries.add(address);
            }
            if (reply.configurationRevision > state.revision) {
                const { fetch } = state.options;
                context.start(
                    () => fetch(message.entry, state.revision),
                    configuration => ({ kind: "fetched", configuration }),
                );
            }
        });
    },
    fetched(state, message) {
        message.configuration.ifRight(configuration => {
            if (!configuration || configuration.revision <= state.revision) {
                return;
            }
            state.revision = configuration.revision;
            state.options.adopted(configuration);
        });
    },
};
