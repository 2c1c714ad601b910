const POLL_INTERVAL_MS = 10;

/** Polls until a condition holds; rejects after `limitMs`. */
export async function pollUntil(
    condition: () => boolean | Promise<boolean>,
    limitMs: number,
    intervalMs = POLL_INTERVAL_MS,
): Promise<void> {
    const deadline = Date.now() + limitMs;
    while (!(await condition())) {
        if (Date.now() > deadline) {
            throw new Error(`The condition did not hold within ${limitMs} ms.`);
        }
        await new Promise(resolve => setTimeout(resolve, intervalMs));
    }
}
