import { write, writeSync } from "node:fs";
import type { Clock } from "../clock/clock.ts";

/** Takes log lines and writes them without ever waiting for the reader. */
export interface LineSink {
    /** Takes one line with its line break; drops it if the reader or the budget is exhausted. */
    write(line: string): void;
    /** Lines dropped since the start. */
    dropped(): number;
    /** Writes what is left, for the end of the process. */
    flush(): void;
}

/** Dependencies and limits of a sink. */
export interface LineSinkOptions {
    clock: Clock;
    /** Writes a text and calls `done` once it is taken; must not block. */
    writeAsync: (text: string, done: () => void) => void;
    /** Writes a text at once, at the end of the process. */
    writeSynchronously: (text: string) => void;
}

/** Characters that may wait for the reader. */
const MAX_BUFFERED_CHARACTERS = 512 * 1024;
/** Lines a second in the long run, and lines that may come at once. */
const LINES_PER_SECOND = 300;
const BURST_LINES = 3_000;
/** Lines that arrive within this time are written together. */
const BATCH_DELAY_MS = 20;

/** Builds a sink. */
export function createLineSink({ clock, writeAsync, writeSynchronously }: LineSinkOptions): LineSink {
    let buffered = "";
    let isWriting = false;
    let isScheduled = false;
    let droppedLines = 0;
    let reportedDroppedLines = 0;
    let budget = BURST_LINES;
    let refilledAt = clock.now();

    function takeBudget(): boolean {
        const now = clock.now();
        budget = Math.min(BURST_LINES, budget + ((now - refilledAt) * LINES_PER_SECOND) / 1_000);
        refilledAt = now;
        if (budget < 1) {
            return false;
        }
        budget -= 1;
        return true;
    }

    function schedule(): void {
        if (!isScheduled && !isWriting) {
            isScheduled = true;
            clock.startTimer(BATCH_DELAY_MS, writeBuffered);
        }
    }

    function writeBuffered(): void {
        isScheduled = false;
        if (isWriting || buffered === "") {
            return;
        }
        const text = buffered;
        buffered = "";
        isWriting = true;
        writeAsync(text, () => {
            isWriting = false;
            if (buffered !== "") {
                schedule();
            }
        });
    }

    return {
        write(line) {
            if (buffered.length + line.length > MAX_BUFFERED_CHARACTERS || !takeBudget()) {
                droppedLines += 1;
                return;
            }
            if (droppedLines > reportedDroppedLines) {
                const count = droppedLines - reportedDroppedLines;
                reportedDroppedLines = droppedLines;
                buffered += `${JSON.stringify({ level: 40, msg: "log: Lines were dropped.", count })}\n`;
            }
            buffered += line;
            schedule();
        },
        dropped: () => droppedLines,
        flush() {
            const text = buffered;
            buffered = "";
            if (text !== "") {
                writeSynchronously(text);
            }
        },
    };
}

const STANDARD_OUTPUT = 1;

/** The sink of a process: standard output, written by a thread of the pool so that a full pipe blocks nothing. */
export function createStandardOutputSink(clock: Clock): LineSink {
    const sink = createLineSink({
        clock,
        writeAsync: (text, done) => writeAll(Buffer.from(text, "utf8"), done),
        writeSynchronously(text) {
            try {
                writeSync(STANDARD_OUTPUT, text);
            } catch {
                // The reader is gone, and with it the only place to say so.
            }
        },
    });
    process.once("exit", sink.flush);
    return sink;
}

/** Writes a buffer in as many steps as the pipe takes. */
function writeAll(buffer: Buffer, done: () => void): void {
    write(STANDARD_OUTPUT, buffer, 0, buffer.length, undefined, (error, written) => {
        if (error?.code === "EAGAIN") {
            setTimeout(() => writeAll(buffer, done), BATCH_DELAY_MS);
            return;
        }
        if (error || written >= buffer.length) {
            done();
            return;
        }
        writeAll(buffer.subarray(written), done);
    });
}
