import { expect } from "chai";
import { createManualClock, type ManualClock } from "../clock/manualClock.ts";
import { createLineSink, type LineSink } from "./lineSink.ts";

describe("the log line sink", () => {
    let clock: ManualClock;
    let written: string[];
    let isReaderStopped: boolean;
    let sink: LineSink;

    beforeEach(() => {
        clock = createManualClock();
        written = [];
        isReaderStopped = false;
        sink = createLineSink({
            clock,
            writeAsync(text, done) {
                written.push(text);
                if (!isReaderStopped) {
                    done();
                }
            },
            writeSynchronously: text => written.push(text),
        });
    });

    function lines(): string[] {
        return written.join("").split("\n").filter(Boolean);
    }

    it("writes lines in order and in batches", async () => {
        sink.write("a\n");
        sink.write("b\n");
        await clock.advance(100);
        expect(written).to.deep.equal(["a\nb\n"]);
    });

    describe("when the reader has stopped", () => {
        it("buffers lines up to its limit without blocking, and counts dropped lines", async () => {
            isReaderStopped = true;
            const line = `${"x".repeat(1_000)}\n`;
            for (let count = 0; count < 2_000; count++) {
                sink.write(line);
            }
            await clock.advance(100);
            for (let count = 0; count < 900; count++) {
                sink.write(line);
            }
            expect(sink.dropped()).to.be.greaterThan(0);
            expect(written).to.have.length(1);
        });
    });

    describe("under load", () => {
        it("keeps to its rate limit and logs that lines were dropped", async () => {
            for (let second = 0; second < 20; second++) {
                for (let count = 0; count < 1_000; count++) {
                    sink.write("line\n");
                }
                await clock.advance(1_000);
            }
            expect(lines().length).to.be.below(10_000);
            expect(lines().some(line => line.includes("Lines were dropped"))).to.equal(true);
        });
    });

    it("writes the buffered lines at the end of the process", () => {
        sink.write("last\n");
        sink.flush();
        expect(written).to.deep.equal(["last\n"]);
    });
});
