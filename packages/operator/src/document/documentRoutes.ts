import type { Either } from "purify-ts/Either";
import { Left, Right } from "purify-ts/Either";
import { z } from "zod";
import type { Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { HistoryRecord } from "@tanagerdeck/store/configuration/acceptedConfiguration";
import type { Routes } from "@tanagerdeck/runtime/http/routes";
import { readOperatorBody, sendResult } from "../listener/operatorHttp.ts";
import type { AcceptedChange, ConfigurationChange } from "./applyDocument.ts";
import { planDocument } from "./planDocument.ts";

const changeSchema = z.strictObject({
    text: z.string(),
    expectedRevision: z.number().int().nonnegative(),
    changeId: z.string().min(1).max(100),
});

const planSchema = z.strictObject({ text: z.string() });

/** Operations on the configuration that the routes call. */
export interface DocumentOperations {
    apply(change: ConfigurationChange): Promise<Either<Failure, AcceptedChange>>;
    current(): Promise<Configuration | undefined>;
    history(): Promise<Either<Failure, HistoryRecord[]>>;
}

/** Creates the routes that read, plan and change the configuration. */
export function createDocumentRoutes(operations: DocumentOperations): Routes<undefined> {
    return {
        async "POST /v1/configuration"({ request, response }) {
            const body = await readOperatorBody(request, changeSchema);
            const result = body.isLeft() ? body : await operations.apply(body.unsafeCoerce());
            sendResult(
                response,
                result.map(({ revision, digest }) => ({ revision, digest })),
            );
        },
        async "GET /v1/configuration"({ response }) {
            const current = await operations.current();
            const none = failure("not-run", "no-configuration", "No configuration has been accepted yet.");
            sendResult(response, current ? Right(current) : Left(none));
        },
        async "GET /v1/configuration/history"({ response }) {
            const history = await operations.history();
            sendResult(
                response,
                history.map(revisions => ({ revisions })),
            );
        },
        async "POST /v1/plan"({ request, response }) {
            const body = await readOperatorBody(request, planSchema);
            const current = await operations.current();
            sendResult(
                response,
                body.chain(({ text }) => planDocument(text, current)),
            );
        },
    };
}
