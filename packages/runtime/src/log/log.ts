import bunyan from "bunyan";
import type { LineSink } from "./lineSink.ts";

/** Log levels of the settings. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of one log record; never a token or a request body. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** A log whose sentences all start with the prefix of one part. */
export interface Log {
    debug(sentence: string, fields?: LogFields): void;
    info(sentence: string, fields?: LogFields): void;
    warn(sentence: string, fields?: LogFields): void;
    error(sentence: string, fields?: LogFields): void;
    /** A log with the prefix of another part and the same sink. */
    part(prefix: string): Log;
}

/** Builds the log of a process; records go to the sink as JSON lines. */
export function createLog(processName: string, level: LogLevel, sink: LineSink): Log {
    const logger = bunyan.createLogger({
        name: processName,
        streams: [{ level, stream: { write: line => sink.write(String(line)) } as NodeJS.WritableStream }],
    });
    return prefixedLog(logger, "process");
}

/** A log that drops everything, for tests. */
export const silentLog: Log = {
    debug() {},
    info() {},
    warn() {},
    error() {},
    part: () => silentLog,
};

function prefixedLog(sink: bunyan, prefix: string): Log {
    return {
        debug: (sentence, fields) => sink.debug(fields ?? {}, `${prefix}: ${sentence}`),
        info: (sentence, fields) => sink.info(fields ?? {}, `${prefix}: ${sentence}`),
        warn: (sentence, fields) => sink.warn(fields ?? {}, `${prefix}: ${sentence}`),
        error: (sentence, fields) => sink.error(fields ?? {}, `${prefix}: ${sentence}`),
        part: other => prefixedLog(sink, other),
    };
}
