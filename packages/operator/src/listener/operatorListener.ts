import type { Either } from "purify-ts/Either";
import { z } from "zod";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { bearerToken, matchesDigest, tokenDigest } from "@tanagerdeck/runtime/access/token";
import { readBody, sendJson, startListener, type Listener } from "@tanagerdeck/runtime/http/listener";
import type { Change } from "../document/applyDocument.ts";

const BODY_LIMIT_BYTES = 1024 * 1024;

const changeSchema = z.strictObject({
    text: z.string(),
    expectedRevision: z.number().int().nonnegative(),
    changeId: z.string().min(1).max(100),
});

/** Dependencies of the operator listener. */
export interface OperatorListenerOptions {
    address: string;
    token: string;
    apply: (change: Change) => Promise<Either<Failure, Configuration>>;
}

/** Serves operators over HTTP. */
export function startOperatorListener(options: OperatorListenerOptions): Promise<Listener> {
    const digest = tokenDigest(options.token);
    return startListener(options.address, (request, response) => {
        void (async () => {
            if (!matchesDigest(bearerToken(request) ?? "", digest)) {
                sendJson(response, 401, failure("not-run", "access-denied", "The operator token is wrong."));
                return;
            }
            const text = await readBody(request, BODY_LIMIT_BYTES);
            const parsed = changeSchema.safeParse(JSON.parse(text ?? "{}"));
            if (request.method !== "POST" || request.url !== "/v1/configuration" || !parsed.success) {
                sendJson(response, 400, failure("not-run", "invalid", "The call is not valid."));
                return;
            }
            const result = await options.apply(parsed.data);
            result.caseOf({
                Left: problem => sendJson(response, problem.verdict === "not-run" ? 409 : 504, problem),
                Right: configuration =>
                    sendJson(response, 200, {
                        revision: configuration.revision,
                        digest: configuration.digest,
                    }),
            });
        })().catch(() => request.socket.destroy());
    });
}
