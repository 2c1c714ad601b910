import type { Progress } from "../request/requestTypes.ts";
import type { CallResult } from "./callStep.ts";

/** Finds replies to another request and answers that were cut or changed on the way. */
export function checkProgress(
    id: string,
    progress: Progress,
    digestOf: (body: string) => string,
    lengthOf: (body: string) => number,
): CallResult {
    if (progress.kind === "pending") {
        return { kind: "progress", progress };
    }
    if (progress.id !== id) {
        return { kind: "damaged" };
    }
    const { outcome } = progress;
    if (outcome.kind === "answer") {
        const { body, length, digest } = outcome.answer;
        if (lengthOf(body) !== length || digestOf(body) !== digest) {
            return { kind: "damaged" };
        }
    }
    return { kind: "progress", progress };
}
