import { setTimeout as delay } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Polls until `condition` holds; a throw counts as false. Rejects after `limitMs` with the last error, if any. */
export async function pollUntil(
    condition: () => boolean | Promise<boolean>,
    limitMs: number,
    description = "the condition",
): Promise<void> {
    const end = performance.now() + limitMs;
    let problem: unknown;
    while (performance.now() < end) {
        try {
            if (await condition()) {
                return;
            }
            problem = undefined;
        } catch (error) {
            problem = error;
        }
        await delay(POLL_INTERVAL_MS);
    }
    throw new Error(
        `${description} did not hold within ${limitMs} ms${problem ? `: ${String(problem)}` : ""}`,
    );
}
