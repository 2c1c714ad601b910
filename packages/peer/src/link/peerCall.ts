import { Either, Left, Right } from "purify-ts/Either";
import { TRPCClientError } from "@trpc/client";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { NOT_SENT_CODES } from "@tanagerdeck/runtime/http/notSentCodes";
import { replyTimeout } from "@tanagerdeck/runtime/http/replyTimer";

/**
 * Makes one remote call with a timeout and returns a thrown error as a failure. The failure's verdict is `not-run`
 * if nothing was sent or the peer refused the token, else `may-have-run`.
 */
export async function peerCall<T>(
    timeoutMs: number,
    call: (signal: AbortSignal) => Promise<T>,
): Promise<Either<Failure, T>> {
    try {
        return Right(await call(replyTimeout(timeoutMs)));
    } catch (error) {
        return Left(failureOfCall(error));
    }
}

/** Converts an error of a remote call to a failure. */
export function failureOfCall(error: unknown): Failure {
    const code = errorCode(error);
    if (code && NOT_SENT_CODES.has(code)) {
        return failure("not-run", "unreachable", `The connection failed with ${code}.`);
    }
    if (error instanceof TRPCClientError && error.data?.code === "UNAUTHORIZED") {
        return failure("not-run", "access-denied", "The peer refused the token.");
    }
    return failure("may-have-run", "unreachable", `The call failed: ${errorText(error)}.`);
}

/** Tells whether the call failed because no connection could be opened. */
export function isConnectFailure(value: Failure): boolean {
    return value.reason === "unreachable" && value.verdict === "not-run";
}

/** The first error code in the chain of causes, such as `ECONNREFUSED`. */
function errorCode(error: unknown): string | undefined {
    let current: unknown = error;
    for (let depth = 0; depth < 5 && current instanceof Error; depth++) {
        const code = (current as { code?: unknown }).code;
        if (typeof code === "string" && code.length > 0) {
            return code;
        }
        current = current.cause;
    }
    return undefined;
}

function errorText(error: unknown): string {
    return error instanceof Error ? error.message : String(error);
}
