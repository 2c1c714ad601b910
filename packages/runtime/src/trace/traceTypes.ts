/** Attributes of a span; they must never contain a token, a request body or an account's secret. */
export type SpanAttributes = Record<string, string | number | boolean>;

/** One operation of a trace. */
export interface Span {
    /** W3C trace context for child spans in other processes; undefined if the trace is not sampled. */
    traceparent: string | undefined;
    set(attributes: SpanAttributes): void;
    /** Ends the span; `problem` marks it as failed. */
    end(problem?: string): void;
}

/** Starts a child span of `parent`, a W3C trace context. Without a parent the span is a no-op. */
export type StartSpan = (name: string, parent: string | undefined, attributes?: SpanAttributes) => Span;

/** Creates a span that records nothing and propagates the context of its parent. */
export function noopSpan(parent: string | undefined): Span {
    return { traceparent: parent, set() {}, end() {} };
}

/** Starts no-op spans only. */
export const startNoopSpan: StartSpan = (_name, parent) => noopSpan(parent);

/** Runs `work` within a span. If `work` rejects, the span is marked as failed and the error is rethrown. */
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
