const BUDGET_WINDOW_MS = 10_000;
const RETRY_SHARE = 0.1;
const MIN_RETRIES = 3;

/** Numbers of requests and retries of one client account in the last 10 s, counted by second. */
export interface RetryBudget {
    requests: Map<number, number>;
    retries: Map<number, number>;
}

/** Creates a budget without requests or retries. */
export function createRetryBudget(): RetryBudget {
    return { requests: new Map(), retries: new Map() };
}

/** Counts the first attempt of a request. */
export function countRequest(budget: RetryBudget, now: number): void {
    incrementCount(budget.requests, now);
}

/** Counts a retry and returns true if the budget allows it. The limit keeps retries from multiplying an overload. */
export function takeRetry(budget: RetryBudget, now: number): boolean {
    const allowed = Math.max(MIN_RETRIES, Math.floor(countInWindow(budget.requests, now) * RETRY_SHARE));
    if (countInWindow(budget.retries, now) >= allowed) {
        return false;
    }
    incrementCount(budget.retries, now);
    return true;
}

function incrementCount(counts: Map<number, number>, now: number): void {
    const second = Math.floor(now / 1_000);
    counts.set(second, (counts.get(second) ?? 0) + 1);
}

/** Sums the counts of the last 10 s and removes older ones. */
function countInWindow(counts: Map<number, number>, now: number): number {
    const oldest = Math.floor((now - BUDGET_WINDOW_MS) / 1_000);
    let total = 0;
    for (const [second, count] of counts) {
        if (second <= oldest) {
            counts.delete(second);
            continue;
        }
        total += count;
    }
    return total;
}
