import { expect } from "chai";
import { chooseForConnections, chooseForMemory } from "./closingChoice.ts";
import { openState, type ConnectionState } from "./intakeTypes.ts";
import { createLedger, type Ledger } from "./ledger.ts";

const NOW_MS = 100_000;
const BODY_BYTES = 256 * 1024;
const MEMORY_BYTES = 4 * 1024 * 1024;

describe("the choice of the connection to close", () => {
    let ledger: Ledger;

    beforeEach(() => {
        ledger = createLedger();
    });

    function add(address: string, changes: Partial<ConnectionState> = {}): ConnectionState {
        const state = { ...openState(address, NOW_MS), ...changes };
        ledger.add(state);
        return state;
    }

    /** A connection whose body stopped short of its end. */
    function addStalled(address: string, stalledMs = 500, bodyBytes = BODY_BYTES): ConnectionState {
        const sinceMs = NOW_MS - stalledMs;
        const times = { requestSinceMs: sinceMs, receivedAtMs: sinceMs };
        return add(address, { requests: 1, isInBody: true, bodyBytes, ...times });
    }

    function addOrdinary(address: string): ConnectionState {
        return add(address, { requests: 1, requestHeadBytes: 400, isInBody: true, bodyBytes: 2_048 });
    }

    function choose(memoryBytes = MEMORY_BYTES): ConnectionState | undefined {
        return chooseForMemory(ledger.groups(), memoryBytes, NOW_MS);
    }

    describe("over the memory budget", () => {
        it("takes it from the address that holds the most, so that one address cannot use up the others' part", () => {
            const upload = addStalled("127.0.0.2", 9_000);
            const crowd = Array.from({ length: 30 }, () => addStalled("127.0.0.1", 100));
            for (let closed = 0; closed < 20; closed++) {
                const chosen = choose();
                expect(chosen).not.to.equal(upload);
                expect(crowd).to.include(chosen);
                ledger.remove(chosen as ConnectionState);
            }
        });

        it("closes nothing of an address below its equal share", () => {
            add("127.0.0.1", { wholeRequests: 40, requests: 40, requestHeadBytes: 2_000_000 });
            addStalled("127.0.0.2", 9_000);
            expect(choose()).to.equal(undefined);
        });

        it("never takes a small request that was sent just now", () => {
            const ordinary = [addOrdinary("127.0.0.1"), addOrdinary("127.0.0.1")];
            for (let count = 0; count < 20; count++) {
                addStalled("127.0.0.1");
            }
            for (let chosen = choose(0); chosen; chosen = choose(0)) {
                expect(ordinary).not.to.include(chosen);
                ledger.remove(chosen);
            }
            expect([...ledger.states()]).to.have.members(ordinary);
        });

        it("takes the stalled large ones first if all share one address", () => {
            const active = addStalled("127.0.0.1", 0);
            const stalled = addStalled("127.0.0.1", 5_000);
            const smaller = addStalled("127.0.0.1", 5_000, 64 * 1024);
            const order: (ConnectionState | undefined)[] = [];
            for (let count = 0; count < 3; count++) {
                const chosen = choose(0);
                order.push(chosen);
                ledger.remove(chosen as ConnectionState);
            }
            expect(order[0]).to.equal(stalled);
            expect(order.slice(1)).to.have.members([active, smaller]);
        });

        it("counts a body that gets single bytes now and then as held for long", () => {
            const dripping = addStalled("127.0.0.1", 0);
            dripping.requestSinceMs = NOW_MS - 10_000;
            addStalled("127.0.0.1", 100);
            expect(choose(0)).to.equal(dripping);
        });

        it("leaves a whole request alone unless its client does not read the answers", () => {
            const whole = { requests: 1, wholeRequests: 1, bodyBytes: BODY_BYTES };
            add("127.0.0.1", whole);
            expect(choose(0)).to.equal(undefined);
            const unread = add("127.0.0.1", { ...whole, unsentBytes: 10, sentAtMs: NOW_MS - 2_000 });
            expect(choose(0)).to.equal(unread);
        });

        it("takes a small unfinished request only after it has stalled, and an idle connection last", () => {
            const idle = add("127.0.0.1");
            const small = addStalled("127.0.0.1", 1_500, 1_024);
            expect(choose(0)).to.equal(small);
            ledger.remove(small);
            expect(choose(0)).to.equal(idle);
        });
    });

    describe("over the connection bound", () => {
        function chooseOther(newest: ConnectionState): ConnectionState | undefined {
            return chooseForConnections(ledger.groups(), newest, NOW_MS);
        }

        it("takes the longest idle one of the address with the most, however long others were idle", () => {
            add("127.0.0.2", { idleSinceMs: 0 });
            add("127.0.0.1", { idleSinceMs: 90_000 });
            const longest = add("127.0.0.1", { idleSinceMs: 80_000 });
            expect(chooseOther(add("127.0.0.3"))).to.equal(longest);
        });

        it("takes one without a whole request if none is idle there", () => {
            add("127.0.0.2", { idleSinceMs: 0 });
            add("127.0.0.1", { requests: 1, wholeRequests: 1 });
            const unfinished = addStalled("127.0.0.1");
            add("127.0.0.1", { requests: 1, wholeRequests: 1 });
            expect(chooseOther(add("127.0.0.3"))).to.equal(unfinished);
        });

        it("takes the longest idle one of any address next, and a whole request last", () => {
            const idle = add("127.0.0.2", { idleSinceMs: 0 });
            const whole = add("127.0.0.1", { requests: 1, wholeRequests: 1, receivedAtMs: 0 });
            add("127.0.0.1", { requests: 1, wholeRequests: 1 });
            const newest = add("127.0.0.3");
            expect(chooseOther(newest)).to.equal(idle);
            ledger.remove(idle);
            expect(chooseOther(newest)).to.equal(whole);
        });

        it("never takes the newest, which a full process would otherwise refuse at once", () => {
            expect(chooseOther(add("127.0.0.1"))).to.equal(undefined);
        });
    });
});
