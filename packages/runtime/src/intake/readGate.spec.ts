import { expect } from "chai";
import { INTERNAL_LIMITS } from "./intake.ts";
import { openState, type ConnectionState } from "./intakeTypes.ts";
import { mayPass, SHARED_READ_AHEAD } from "./readGate.ts";

describe("the gate before the parser", () => {
    const limits = { ...INTERNAL_LIMITS, readAhead: 4, memoryBytes: 1_000_000 };
    const quiet = { totalBytes: 0, totalRequests: 0 };
    const full = { totalBytes: 1_000_000, totalRequests: 0 };

    function state(changes: Partial<ConnectionState>): ConnectionState {
        return { ...openState("127.0.0.1", 0), ...changes };
    }

    it("closes at the limit of unanswered requests, so that a client that reads nothing adds no more", () => {
        expect(mayPass(state({ requests: 3 }), quiet, limits)).to.equal(true);
        expect(mayPass(state({ requests: 4 }), quiet, limits)).to.equal(false);
    });

    it("lets the body of the last request pass, which would otherwise never be whole", () => {
        expect(mayPass(state({ requests: 4, isInBody: true }), quiet, limits)).to.equal(true);
    });

    it("lets only first requests pass while many are unanswered, so that pipelining delays nobody else", () => {
        const many = { totalBytes: 0, totalRequests: SHARED_READ_AHEAD };
        expect(mayPass(state({ requests: 1 }), many, limits)).to.equal(false);
        expect(mayPass(state({}), many, limits)).to.equal(true);
    });

    it("lets small first requests pass over the memory budget, and nothing else", () => {
        expect(mayPass(state({}), full, limits)).to.equal(true);
        expect(mayPass(state({ requests: 1, isInBody: true, bodyBytes: 2_048 }), full, limits)).to.equal(
            true,
        );
        expect(mayPass(state({ requests: 1 }), full, limits)).to.equal(false);
        expect(mayPass(state({ requests: 1, isInBody: true, bodyBytes: 200_000 }), full, limits)).to.equal(
            false,
        );
    });
});
