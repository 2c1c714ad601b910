import type { Priority } from "../document/documentTypes.ts";

/** Milliseconds by which each millisecond of waiting reduces a request's expected run time in the order. */
const AGEING_FACTOR = 0.5;
/** Fraction of the slots that `batch` requests may hold, so that an urgent request soon finds a free slot. */
const BATCH_SLOT_SHARE = 0.75;
const PRIORITIES: Priority[] = ["urgent", "normal", "batch"];

/** A request in the queue of a runner. Times are in milliseconds. */
export interface QueuedRequest {
    key: string;
    clientAccount: string;
    priority: Priority;
    enqueuedAt: number;
    expectedMs: number;
}

/** A request that holds a slot. */
export interface RunningRequest extends QueuedRequest {
    startedAt: number;
}

/** State of a runner's queue: waiting and running requests, slots and the service received by each client account. */
export interface RunnerQueue {
    slots: number;
    waiting: QueuedRequest[];
    running: RunningRequest[];
    /** Service received by client account: the sum of expected run times divided by the account's weight. */
    served: Map<string, number>;
    weightOf: (clientAccount: string) => number;
}

/** Queue discipline: selects the request that gets a free slot; undefined leaves the slot free. */
export type QueueOrder = (queue: RunnerQueue, now: number) => QueuedRequest | undefined;

/** Selects the oldest request. */
export const firstComeFirstServed: QueueOrder = queue => queue.waiting[0];

/**
 * Selects by priority (urgent, normal, batch), then the client account with the least service for its weight, then
 * that account's request with the shortest expected run time, reduced by ageing.
 */
export const fairShortestFirst: QueueOrder = (queue, now) => {
    for (const priority of PRIORITIES) {
        if (priority === "batch" && countRunning(queue, "batch") >= batchSlots(queue.slots)) {
            continue;
        }
        const candidates = queue.waiting.filter(request => request.priority === priority);
        const account = leastServed(queue, candidates);
        const own = candidates.filter(request => request.clientAccount === account);
        const next = shortestAfterAgeing(own, now);
        if (next) {
            return next;
        }
    }
    return undefined;
};

/** Number of slots that `batch` requests may hold. */
export function batchSlots(slots: number): number {
    return Math.max(1, Math.floor(slots * BATCH_SLOT_SHARE));
}

/** Moves a request from the queue to a slot and adds its cost to the service of its client account. */
export function startQueued(queue: RunnerQueue, request: QueuedRequest, now: number): void {
    const { clientAccount } = request;
    queue.waiting.splice(queue.waiting.indexOf(request), 1);
    queue.running.push({ ...request, startedAt: now });
    const cost = Math.max(1, request.expectedMs) / queue.weightOf(clientAccount);
    queue.served.set(clientAccount, serviceOf(queue, clientAccount) + cost);
}

/** Adds a request. An idle account is first raised to the least service of the active ones: idling earns no credit. */
export function enqueue(queue: RunnerQueue, request: QueuedRequest): void {
    const { clientAccount } = request;
    if (!isActive(queue, clientAccount)) {
        queue.served.set(clientAccount, Math.max(serviceOf(queue, clientAccount), leastActiveService(queue)));
    }
    queue.waiting.push(request);
}

/** Expected milliseconds until a new request of this priority and client account gets a slot. */
export function expectedWaitMs(
    queue: RunnerQueue,
    request: { priority: Priority; clientAccount?: string },
    now: number,
): number {
    const rank = PRIORITIES.indexOf(request.priority);
    const slots = request.priority === "batch" ? batchSlots(queue.slots) : queue.slots;
    const holders = queue.running.filter(
        running => request.priority !== "batch" || running.priority === "batch",
    );
    const ahead = queue.waiting.filter(waiting => PRIORITIES.indexOf(waiting.priority) <= rank);
    if (ahead.length === 0 && holders.length < slots && queue.running.length < queue.slots) {
        return 0;
    }
    let remaining = 0;
    for (const running of holders) {
        remaining += Math.max(0, running.expectedMs - (now - running.startedAt));
    }
    const all = remaining + totalExpectedMs(ahead);
    return Math.min(all, fairShareBacklog(queue, ahead, request.clientAccount, remaining)) / slots;
}

/**
 * Upper bound of the work ahead of an account's new request under fair sharing: the running requests, and the
 * account's own backlog scaled by the inverse of its share of the weights.
 */
function fairShareBacklog(
    queue: RunnerQueue,
    ahead: QueuedRequest[],
    clientAccount: string | undefined,
    remaining: number,
): number {
    if (clientAccount === undefined) {
        return Number.POSITIVE_INFINITY;
    }
    const accounts = new Set(ahead.map(request => request.clientAccount)).add(clientAccount);
    let weights = 0;
    for (const account of accounts) {
        weights += queue.weightOf(account);
    }
    const own = totalExpectedMs(ahead.filter(request => request.clientAccount === clientAccount));
    return remaining + (own * weights) / queue.weightOf(clientAccount);
}

function totalExpectedMs(requests: QueuedRequest[]): number {
    let sum = 0;
    for (const request of requests) {
        sum += request.expectedMs;
    }
    return sum;
}

function countRunning(queue: RunnerQueue, priority: Priority): number {
    return queue.running.filter(running => running.priority === priority).length;
}

function leastServed(queue: RunnerQueue, candidates: QueuedRequest[]): string | undefined {
    let best: string | undefined;
    for (const { clientAccount } of candidates) {
        if (best === undefined || serviceOf(queue, clientAccount) < serviceOf(queue, best)) {
            best = clientAccount;
        }
    }
    return best;
}

function shortestAfterAgeing(requests: QueuedRequest[], now: number): QueuedRequest | undefined {
    let best: QueuedRequest | undefined;
    let bestScore = Number.POSITIVE_INFINITY;
    for (const request of requests) {
        const score = request.expectedMs - (now - request.enqueuedAt) * AGEING_FACTOR;
        if (score < bestScore) {
            best = request;
            bestScore = score;
        }
    }
    return best;
}

function isActive(queue: RunnerQueue, clientAccount: string): boolean {
    const isOwn = (request: QueuedRequest) => request.clientAccount === clientAccount;
    return queue.waiting.some(isOwn) || queue.running.some(isOwn);
}

function leastActiveService(queue: RunnerQueue): number {
    let least: number | undefined;
    for (const { clientAccount } of [...queue.waiting, ...queue.running]) {
        const service = serviceOf(queue, clientAccount);
        least = least === undefined ? service : Math.min(least, service);
    }
    return least ?? 0;
}

function serviceOf(queue: RunnerQueue, clientAccount: string): number {
    return queue.served.get(clientAccount) ?? 0;
}
