/** Length of the shortest prefix for which the search succeeded, and its result. */
export interface ShortestPrefix<T> {
    length: number;
    found: T;
}

/**
 * Finds the shortest prefix of a list for which `attempt` returns a result, by bisection. `attempt` must be monotonic:
 * if it succeeds for a prefix, it succeeds for each longer one.
 */
export function shortestPrefix<T>(
    maxLength: number,
    attempt: (length: number) => T | undefined,
): ShortestPrefix<T> | undefined {
    const foundForAll = maxLength > 0 ? attempt(maxLength) : undefined;
    if (foundForAll === undefined) {
        return undefined;
    }
    let best: ShortestPrefix<T> = { length: maxLength, found: foundForAll };
    let tooShort = 0;
    while (best.length - tooShort > 1) {
        const length = Math.floor((tooShort + best.length) / 2);
        const found = attempt(length);
        if (found === undefined) {
            tooShort = length;
        } else {
            best = { length, found };
        }
    }
    return best;
}
