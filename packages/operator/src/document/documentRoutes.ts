import type { Either } from "purify-ts/Either";
import { z } from "zod";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { readBody, sendJson } from "@tanagerdeck/runtime/http/listener";
import { parseJson, sendOk, type Routes } from "@tanagerdeck/runtime/http/routes";
import type { Change } from "./applyDocument.ts";

const BODY_LIMIT_BYTES = 1024 * 1024;

const changeSchema = z.strictObject({
    text: z.string(),
    expectedRevision: z.number().int().nonnegative(),
    changeId: z.string().min(1).max(100),
});

/** Routes that read and change the configuration. */
export function createDocumentRoutes(
    apply: (change: Change) => Promise<Either<Failure, Configuration>>,
): Routes<undefined> {
    return {
        async "POST /v1/configuration"({ request, response }) {
            const parsed = changeSchema.safeParse(parseJson(await readBody(request, BODY_LIMIT_BYTES)));
            if (!parsed.success) {
                sendJson(response, 400, failure("not-run", "invalid", z.prettifyError(parsed.error)));
                return;
            }
            const result = await apply(parsed.data);
            result.caseOf({
                Left: problem => sendJson(response, problem.verdict === "not-run" ? 409 : 504, problem),
                Right: ({ revision, digest }) => sendOk(response, { revision, digest }),
            });
        },
    };
}
