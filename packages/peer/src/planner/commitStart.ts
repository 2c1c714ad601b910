import { Left, type Either } from "purify-ts/Either";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { TaskContext } from "@tanagerdeck/runtime/task/task";
import type { CommitReply, Transaction } from "@tanagerdeck/store/keyvalue/keyValueTypes";
import type { PlannerMessage, PlannerOptions } from "./plannerTypes.ts";

/** Starts a transaction, whose outcome arrives as a message; a rejection counts as an unknown outcome. */
export type StartCommit = (
    context: TaskContext<PlannerMessage>,
    transaction: Transaction,
    done: (result: Either<Failure, CommitReply>) => PlannerMessage,
) => void;

/** Creates the function through which the planner's task writes to the store. */
export function createStartCommit(commit: PlannerOptions["commit"]): StartCommit {
    return (context, transaction, done) =>
        context.start(
            () => commit(transaction),
            done,
            error => done(Left(failure("may-have-run", "platform-unavailable", String(error)))),
        );
}
