import { expect } from "chai";
import fc from "fast-check";
import { openState, type ConnectionState } from "./intakeTypes.ts";
import { chargedBytes, createLedger } from "./ledger.ts";

/** Guards against sums that drift from what is held, after which a process would close too much or too little. */
describe("the ledger of connections", () => {
    const step = fc.record({
        kind: fc.constantFrom("add", "update", "remove"),
        address: fc.constantFrom("127.0.0.1", "127.0.0.2", "127.0.0.3"),
        index: fc.nat(20),
        bodyBytes: fc.nat(300_000),
        requests: fc.nat(32),
    });

    it("has the sums of its connections after any changes", () => {
        fc.assert(
            fc.property(fc.array(step, { maxLength: 60 }), steps => {
                const ledger = createLedger();
                const states: ConnectionState[] = [];
                for (const { kind, address, index, bodyBytes, requests } of steps) {
                    const state = states[index % Math.max(1, states.length)];
                    if (kind === "add" || !state) {
                        const added = openState(address, 0);
                        states.push(added);
                        ledger.add(added);
                    } else if (kind === "update") {
                        Object.assign(state, { bodyBytes, requests });
                        ledger.update(state);
                    } else {
                        states.splice(states.indexOf(state), 1);
                        ledger.remove(state);
                        // A late change of a closed connection has no effect.
                        ledger.update(state);
                    }
                }
                const sum = (values: number[]) => values.reduce((a, b) => a + b, 0);
                expect(ledger.connections).to.equal(states.length);
                expect(ledger.totalBytes).to.equal(sum(states.map(chargedBytes)));
                expect(ledger.totalRequests).to.equal(sum(states.map(state => state.requests)));
                for (const group of ledger.groups()) {
                    const own = states.filter(state => state.address === group.address);
                    expect([...group.states]).to.have.members(own);
                    expect(group.bytes).to.equal(sum(own.map(chargedBytes)));
                }
            }),
        );
    });
});
