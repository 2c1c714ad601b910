import type { ClientRequest } from "@tanagerdeck/caller/client/requestClient";
import type { ProcessGroup } from "@tanagerdeck/standins/processes/processGroup";
import { readControl, runCaller } from "./callers.ts";
import type { Environment } from "./environment.ts";
import type { Firm } from "./firms.ts";

const CALLERS = 2;
const DEADLINE_MS = 10_000;
const RUN_TIMES_MS = [2, 5, 10, 20, 30];
/** One request in this many is of the kind that may not be repeated. */
const NON_REPEATABLE_EVERY = 5;
/** Of the others, one request in this many is of a kind in `otherRepeatableKinds`. */
const OTHER_KIND_EVERY = 3;

/** Results of the requests of one environment. */
export interface RequestResult {
    requests: number;
    /** Requests for which the caller received the complete answer that belongs to them. */
    answered: number;
    /** Executions other than the first of each answered request. */
    duplicated: number;
    problems: string[];
}

/** Sends requests from several caller processes and checks every answer and every execution. */
export async function sendRequests(
    group: ProcessGroup,
    environment: Environment,
    count: number,
): Promise<RequestResult> {
    const { firm } = environment;
    const requests = Array.from({ length: count }, (_value, index) => createRequest(firm, index));
    const reports = await Promise.all(
        Array.from({ length: CALLERS }, (_value, caller) =>
            runCaller(group, environment, {
                name: `${firm.environment}-desk-${caller + 1}`,
                token: firm.callerToken,
                requests: requests.filter((_request, index) => index % CALLERS === caller),
                jobs: [],
            }),
        ),
    );
    const outcomes = reports.flatMap(report => report.requests);
    const answered = outcomes.filter(({ verdict, whole }) => verdict === "ran" && whole);
    const problems = outcomes.filter(outcome => !answered.includes(outcome));
    return {
        requests: count,
        answered: answered.length,
        duplicated: await countDuplicates(environment, new Set(answered.map(({ id }) => id))),
        problems: problems.map(({ id, verdict, detail }) => `${id}: ${verdict}: ${detail}`),
    };
}

function createRequest(firm: Firm, index: number): ClientRequest {
    const name = `${firm.environment}-${index}`;
    const body = JSON.stringify({ id: name, ms: RUN_TIMES_MS[index % RUN_TIMES_MS.length] });
    if (index % NON_REPEATABLE_EVERY === 0) {
        return { kind: firm.nonRepeatableKind, deadlineMs: DEADLINE_MS, body };
    }
    const other = firm.otherRepeatableKinds[index % firm.otherRepeatableKinds.length]!;
    const kind = index % OTHER_KIND_EVERY === 0 ? other : firm.requestKind;
    return { kind, id: name, deadlineMs: DEADLINE_MS, body };
}

/** Counts executions on all runners that are not the first of an answered request. */
async function countDuplicates({ runners }: Environment, answered: Set<string>): Promise<number> {
    const executedIds = new Set<string>();
    let duplicates = 0;
    for (const runner of runners) {
        for (const id of await readControl<string[]>(runner.addresses.controlAddress!, "/executed")) {
            duplicates += answered.has(id) && !executedIds.has(id) ? 0 : 1;
            executedIds.add(id);
        }
    }
    return duplicates;
}
