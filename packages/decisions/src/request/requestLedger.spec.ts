import { expect } from "chai";
import { failure, type Outcome } from "../verdict/verdictTypes.ts";
import { sweepLedger } from "./requestLedgerMemory.ts";
import { createRequestLedger, type RequestLedger, type LedgerRecord } from "./requestLedgerTypes.ts";
import {
    admitRequest,
    advanceLedger,
    closeRequest,
    deliverRecord,
    findRequest,
    finishRecord,
    TICKET_LIFETIME_CAP_MS,
} from "./requestLedger.ts";
import { formatTicket, type Request } from "./requestTypes.ts";

const START = 1_000_000;
const SEND = { incarnation: "one", attempt: "a1" };
const TOMBSTONE = failure("not-run", "unreachable", "It did not arrive.");

describe("the request ledger", () => {
    let ledger: RequestLedger;

    beforeEach(() => {
        ledger = createRequestLedger("one", { bytes: 100, records: 10 }, START);
    });

    describe("with a ticket of this incarnation", () => {
        const request = ticketRequest(START + 10_000);

        it("runs the id once and answers repeats from its record, so that a booking is not made twice", () => {
            const record = admitNew(request);
            finishRecord(ledger, record, answerOf(5));
            const repeat = admitRequest(ledger, request, { ...SEND, attempt: "a2" }, "d1");
            expect(repeat).to.deep.equal({ kind: "known", record });
            expect(deliverRecord(ledger, record)).to.deep.equal(answerOf(5));
        });

        it("refuses another body or account under the id, so that no caller gets another's answer", () => {
            admitNew(request);
            expectRefusal(admitRequest(ledger, request, SEND, "d2"), "not-run", "conflict");
            const other = { ...request, clientAccount: "other" };
            expectRefusal(admitRequest(ledger, other, SEND, "d1"), "not-run", "conflict");
            expectRefusal(findRequest(ledger, { ...other, ...SEND }), "not-run", "conflict");
            expectRefusal(closeRequest(ledger, { ...other, ...SEND }, TOMBSTONE), "not-run", "conflict");
        });

        it("does not run a submit that arrives after settle answered not-run", () => {
            closeRequest(ledger, { ...request, ...SEND }, TOMBSTONE);
            const late = admitRequest(ledger, request, { ...SEND, attempt: "a9" }, "d1");
            expect(late.kind).to.equal("known");
            expect(late.kind === "known" && late.record.outcome).to.deep.equal(TOMBSTONE);
        });

        it("keeps the first outcome when a cancellation and an answer race", () => {
            const record = admitNew(request);
            finishRecord(ledger, record, answerOf(5));
            finishRecord(ledger, record, failure("not-run", "cancelled", "Too late."));
            expect(record.outcome?.verdict).to.equal("ran");
        });
    });

    describe("with a ticket that must not run", () => {
        it("answers may-have-run for the ticket of an earlier incarnation", () => {
            const old = ticketRequest(START + 10_000, "zero");
            expectRefusal(admitRequest(ledger, old, SEND, "d1"), "may-have-run", "incarnation-gone");
            expectRefusal(
                closeRequest(ledger, { ...old, ...SEND }, TOMBSTONE),
                "may-have-run",
                "incarnation-gone",
            );
        });

        it("refuses a ticket that expires after the cap of one hour", () => {
            const request = ticketRequest(START + TICKET_LIFETIME_CAP_MS + 1);
            expectRefusal(admitRequest(ledger, request, SEND, "d1"), "not-run", "invalid");
        });

        it("does not reopen an expired id when the clock jumps back", () => {
            const request = ticketRequest(START + 10_000);
            const record = admitNew(request);
            finishRecord(ledger, record, answerOf(5));
            advanceLedger(ledger, START + 60_000);
            sweepLedger(ledger);
            expect(ledger.records.size).to.equal(0);
            advanceLedger(ledger, START);
            expectRefusal(admitRequest(ledger, request, SEND, "d1"), "may-have-run", "ticket-expired");
        });

        it("does not run an id again after its record was evicted", () => {
            for (let index = 0; index < 10; index++) {
                const record = admitNew(ticketRequest(START + 20_000 + index, "one", `r${index}`));
                finishRecord(ledger, record, answerOf(1));
                deliverRecord(ledger, record);
            }
            admitNew(ticketRequest(START + 50_000, "one", "next"));
            const dropped = ticketRequest(START + 20_000, "one", "r0");
            expectRefusal(admitRequest(ledger, dropped, SEND, "d1"), "may-have-run", "ticket-expired");
        });

        it("needs a ticket for a kind that may not be repeated", () => {
            const request = { ...repeatableRequest(), repeatable: false };
            expectRefusal(admitRequest(ledger, request, SEND, "d1"), "not-run", "ticket-required");
        });
    });

    describe("with a repeatable id", () => {
        const request = repeatableRequest();

        it("keeps the ids of two accounts apart", () => {
            admitNew(request);
            admitNew({ ...request, clientAccount: "other" });
        });

        it("does not run a delayed copy of a settled send attempt but runs a new one", () => {
            closeRequest(ledger, { ...request, ...SEND }, TOMBSTONE);
            expect(admitRequest(ledger, request, SEND, "d1").kind).to.equal("known");
            expect(admitRequest(ledger, request, { ...SEND, attempt: "a2" }, "d1").kind).to.equal("new");
        });

        it("cannot settle for an earlier incarnation", () => {
            const reference = { ...request, incarnation: "zero", attempt: "a1" };
            expectRefusal(closeRequest(ledger, reference, TOMBSTONE), "may-have-run", "incarnation-gone");
        });
    });

    describe("when the retained bodies exceed the byte limit", () => {
        it("refuses new work while bodies are undelivered, so that the first delivery of an answer is complete", () => {
            const record = admitNew(ticketRequest(START + 100_000, "one", "big"));
            finishRecord(ledger, record, answerOf(200));
            const next = ticketRequest(START + 100_000, "one", "next");
            expectRefusal(admitRequest(ledger, next, SEND, "d1"), "not-run", "limit-exceeded");
            expect(deliverRecord(ledger, record)).to.deep.equal(answerOf(200));
        });

        it("releases delivered bodies after the grace time and still answers that the request ran", () => {
            const record = admitNew(ticketRequest(START + 100_000, "one", "big"));
            finishRecord(ledger, record, answerOf(200));
            deliverRecord(ledger, record);
            advanceLedger(ledger, START + 31_000);
            admitNew(ticketRequest(START + 100_000, "one", "next"));
            expect(deliverRecord(ledger, record)).to.include({ verdict: "ran", reason: "answer-released" });
        });
    });

    function admitNew(request: Request): LedgerRecord {
        const decision = admitRequest(ledger, request, SEND, "d1");
        if (decision.kind !== "new") {
            throw new Error(`The id was not new: ${JSON.stringify(decision)}.`);
        }
        return decision.record;
    }
});

function expectRefusal(decision: ReturnType<typeof findRequest>, verdict: string, reason: string): void {
    expect(decision.kind).to.equal("refused");
    expect(decision.kind === "refused" && decision.failure).to.include({ verdict, reason });
}

function ticketRequest(expiresAt: number, incarnation = "one", random = "r"): Request {
    const id = formatTicket({ agent: "agent-1", incarnation, random, expiresAt });
    return { ...repeatableRequest(), id, repeatable: false };
}

function repeatableRequest(): Request {
    return {
        id: "key",
        clientAccount: "counter",
        kind: "quote",
        priority: "urgent",
        repeatable: true,
        remainingMs: 1_000,
        body: "{}",
    };
}

function answerOf(length: number): Outcome {
    return { kind: "answer", verdict: "ran", answer: { body: "x".repeat(length), length, digest: "d" } };
}
