import { write, writeSync } from "node:fs";
import type { Clock } from "../clock/clock.ts";

/** Buffers log lines and writes them asynchronously, so that a slow reader of the log never blocks the process. */
export interface LineSink {
    /** Buffers one line, which includes its line break; drops it if the buffer is full or the rate limit is reached. */
    write(line: string): void;
    /** Number of lines dropped since the start. */
    dropped(): number;
    /** Writes the buffered lines synchronously, at the end of the process. */
    flush(): void;
}

/** Dependencies of a sink. */
export interface LineSinkOptions {
    clock: Clock;
    /** Starts to write a text and calls `done` when it is written; must not block. */
    writeAsync: (text: string, done: () => void) => void;
    /** Writes a text before it returns; used at the end of the process. */
    writeSynchronously: (text: string) => void;
}

/** Largest number of buffered characters. */
const MAX_BUFFERED_CHARACTERS = 512 * 1024;
/** Sustained rate and burst size of the token bucket that limits lines. */
const LINES_PER_SECOND = 300;
const BURST_LINES = 3_000;
/** Delay before buffered lines are written, so that one write carries several lines. */
const BATCH_DELAY_MS = 20;

/** Creates a sink with a bounded buffer and a rate limit. It writes one batch of lines at a time. */
export function createLineSink({ clock, writeAsync, writeSynchronously }: LineSinkOptions): LineSink {
    let buffered = "";
    let isWriting = false;
    let isScheduled = false;
    let droppedLines = 0;
    let reportedDroppedLines = 0;
    let budget = BURST_LINES;
    let refilledAt = clock.now();

    /** Refills the token bucket and takes one token; returns false if there is none. */
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

/** Creates the sink of a process. A thread of libuv's pool writes to standard output, so a full pipe blocks no task. */
export function createStandardOutputSink(clock: Clock): LineSink {
    const sink = createLineSink({
        clock,
        writeAsync: (text, done) => writeAll(Buffer.from(text, "utf8"), done),
        writeSynchronously(text) {
            try {
                writeSync(STANDARD_OUTPUT, text);
            } catch {
                // Standard output is closed, so the error cannot be logged either.
            }
        },
    });
    process.once("exit", sink.flush);
    return sink;
}

/** Writes a buffer in as many writes as the pipe needs; retries later while the pipe is full. */
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
