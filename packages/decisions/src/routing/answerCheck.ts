import type { Progress } from "../request/requestTypes.ts";
import type { CallResult } from "./callStep.ts";

/** Checks a reply of an agent: a reply to another request and a truncated or altered answer are `damaged`. */
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
