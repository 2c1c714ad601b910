/** The shortest prefix that passes, and what it passed with. */
export interface ShortestPrefix<T> {
    length: number;
    found: T;
}

/**
 * Finds the shortest prefix of a list for which `attempt` finds something, by bisection. A longer prefix than one
 * that passes must pass, too.
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
