import { expect } from "chai";
import type { IncomingMessage } from "node:http";
import { findRoute, type Routes } from "./routes.ts";

describe("the route of a request", () => {
    const routes: Routes<undefined> = { "POST /v1/drain": async () => undefined };

    function segments(url: string): string[] | undefined {
        return findRoute(routes, { method: "POST", url } as IncomingMessage)?.segments;
    }

    describe("with segments", () => {
        it("decodes them", () => expect(segments("/v1/drain/a%2Fb")).to.deep.equal(["a/b"]));

        it("finds no route for malformed percent-encoding, which must not end the process", () =>
            expect(segments("/v1/drain/%E0%A4%A")).to.equal(undefined));
    });
});
