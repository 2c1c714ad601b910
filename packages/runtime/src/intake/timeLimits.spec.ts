import { expect } from "chai";
import { INTERNAL_LIMITS } from "./intake.ts";
import { openState, type ClosingCause, type ConnectionState } from "./intakeTypes.ts";
import { exceededTimeLimit } from "./timeLimits.ts";

describe("the time limits of a connection", () => {
    const limits = {
        ...INTERNAL_LIMITS,
        headTimeoutMs: 3_000,
        stallTimeoutMs: 15_000,
        idleTimeoutMs: 20_000,
    };

    function after(nowMs: number, changes: Partial<ConnectionState>): ClosingCause | undefined {
        return exceededTimeLimit({ ...openState("127.0.0.1", 0), ...changes }, limits, nowMs);
    }

    it("end one without a request", () => {
        expect(after(20_000, {})).to.equal(undefined);
        expect(after(20_001, {})).to.equal("idle");
    });

    it("end a head that does not become whole, although its bytes go on to come", () => {
        expect(after(3_000, { headSinceMs: 0, headBytes: 9 })).to.equal(undefined);
        expect(after(3_001, { headSinceMs: 0, headBytes: 9, receivedAtMs: 3_000 })).to.equal("head-timeout");
    });

    it("end a body without progress, but not one that comes slowly", () => {
        const body = { requests: 1, isInBody: true };
        expect(after(15_001, body)).to.equal("body-timeout");
        expect(after(90_000, { ...body, receivedAtMs: 80_000 })).to.equal(undefined);
    });

    it("end one whose client reads no answers, but not while an earlier answer is still to come", () => {
        const whole = { requests: 2, wholeRequests: 2 };
        expect(after(15_001, { ...whole, unsentBytes: 1 })).to.equal("unread-answer");
        expect(after(90_000, { ...whole, queuedBytes: 1 })).to.equal(undefined);
    });

    it("do not count while the process itself holds received bytes back", () => {
        const held = { pendingBytes: 10 };
        expect(after(90_000, { ...held, headSinceMs: 0 })).to.equal(undefined);
        expect(after(90_000, { ...held, requests: 1, isInBody: true })).to.equal(undefined);
        expect(after(90_000, { ...held, unsentBytes: 1 })).to.equal("unread-answer");
    });

    it("never end a whole request because of the half one behind it", () => {
        expect(after(90_000, { requests: 1, wholeRequests: 1, headSinceMs: 0 })).to.equal(undefined);
        expect(after(90_000, { requests: 2, wholeRequests: 1, isInBody: true })).to.equal(undefined);
    });
});
