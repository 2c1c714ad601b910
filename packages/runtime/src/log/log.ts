import bunyan from "bunyan";
import type { LineSink } from "./lineSink.ts";

/** Log levels that the settings accept. */
export type LogLevel = "debug" | "info" | "warn" | "error";

/** Fields of one log record; they must never contain a token or a request body. */
export type LogFields = Record<string, string | number | boolean | undefined>;

/** A logger whose messages all start with the name of one part of the process. */
export interface Log {
    debug(message: string, fields?: LogFields): void;
    info(message: string, fields?: LogFields): void;
    warn(message: string, fields?: LogFields): void;
    error(message: string, fields?: LogFields): void;
    /** Creates a logger for another part that writes to the same sink. */
    part(prefix: string): Log;
}

/** Creates the logger of a process, which writes records to the sink as JSON lines. */
export function createLog(processName: string, level: LogLevel, sink: LineSink): Log {
    const logger = bunyan.createLogger({
        name: processName,
        streams: [{ level, stream: { write: line => sink.write(String(line)) } as NodeJS.WritableStream }],
    });
    return prefixedLog(logger, "process");
}

/** A logger that drops all records, for tests. */
export const noopLog: Log = {
    debug() {},
    info() {},
    warn() {},
    error() {},
    part: () => noopLog,
};

function prefixedLog(sink: bunyan, prefix: string): Log {
    return {
        debug: (message, fields) => sink.debug(fields ?? {}, `${prefix}: ${message}`),
        info: (message, fields) => sink.info(fields ?? {}, `${prefix}: ${message}`),
        warn: (message, fields) => sink.warn(fields ?? {}, `${prefix}: ${message}`),
        error: (message, fields) => sink.error(fields ?? {}, `${prefix}: ${message}`),
        part: other => prefixedLog(sink, other),
    };
}
