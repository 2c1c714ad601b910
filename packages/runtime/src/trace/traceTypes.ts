/** Attributes of a span; never a token, a request body or an account's secret. */
export type SpanAttributes = Record<string, string | number | boolean>;

/** One hop of a trace. */
export interface Span {
    /** W3C trace context for the next hop; undefined if the trace is not sampled. */
    traceparent: string | undefined;
    set(attributes: SpanAttributes): void;
    /** Ends the span; `problem` marks it as failed. */
    end(problem?: string): void;
}

/** Starts a span below `parent`, a W3C trace context. Without a parent the span is silent. */
export type StartSpan = (name: string, parent: string | undefined, attributes?: SpanAttributes) => Span;

/** A span that records nothing and passes its parent on. */
export function noopSpan(parent: string | undefined): Span {
    return { traceparent: parent, set() {}, end() {} };
}

/** Starts silent spans only. */
export const startNoopSpan: StartSpan = (_name, parent) => noopSpan(parent);

/** Runs `work` within a span; a rejection marks the span as failed and is passed on. */
export async function withSpan<T>(
    startSpan: StartSpan,
    name: string,
    parent: string | undefined,
    work: (span: Span) => Promise<T>,
): Promise<T> {
    const span = startSpan(name, parent);
    try {
        const result = await work(span);
        span.end();
        return result;
    } catch (error) {
        span.end(error instanceof Error ? error.message : String(error));
        throw error;
    }
}
