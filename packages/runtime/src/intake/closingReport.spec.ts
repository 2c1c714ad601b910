import { expect } from "chai";
import { createManualClock } from "../clock/manualClock.ts";
import { noopLog, type LogFields } from "../log/log.ts";
import { createClosingReport } from "./closingReport.ts";

describe("the report of closed connections", () => {
    it("has one line a second at most, with all counts, however many connections are closed", async () => {
        const clock = createManualClock();
        const lines: (LogFields | undefined)[] = [];
        const log = { ...noopLog, warn: (_message: string, fields?: LogFields) => void lines.push(fields) };
        const report = createClosingReport(log, clock);
        report("memory");
        report("memory");
        report("idle");
        await clock.advance(1);
        for (let count = 0; count < 100; count++) {
            report("head-timeout");
        }
        await clock.advance(990);
        expect(lines).to.deep.equal([{ memory: 2 }]);
        await clock.advance(20);
        expect(lines).to.deep.equal([{ memory: 2 }, { "head-timeout": 100 }]);
        await clock.advance(5_000);
        expect(lines).to.have.length(2);
    });
});
