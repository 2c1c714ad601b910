/** Smallest capacity; most bodies fit. */
const FIRST_CAPACITY_BYTES = 1_024;

/** Collects the bytes of one body. */
export interface BodyBuffer {
    /** Adds bytes; those beyond the limit are counted and dropped. */
    add(chunk: Uint8Array): void;
    /** Text of the body; undefined if it is longer than the limit. */
    text(): string | undefined;
    /** Gives the memory back; the buffer must not be used any more. */
    release(): void;
}

/** Dependencies of a body buffer. */
export interface BodyBufferOptions {
    limitBytes: number;
    take: (size: number) => Buffer;
    give: (buffer: Buffer) => void;
    /** Called with the difference each time the capacity changes. */
    onCapacity: (differenceBytes: number) => void;
}

/**
 * Creates a buffer that doubles its capacity up to the limit, so that its memory depends on the bytes received and not
 * on the number of chunks or on the length that the client has announced.
 */
export function createBodyBuffer({ limitBytes, take, give, onCapacity }: BodyBufferOptions): BodyBuffer {
    let buffer: Buffer | undefined;
    let length = 0;

    function reserve(neededBytes: number): Buffer {
        if (buffer && neededBytes <= buffer.length) {
            return buffer;
        }
        let capacity = buffer?.length ?? FIRST_CAPACITY_BYTES;
        while (capacity < neededBytes) {
            capacity *= 2;
        }
        const grown = take(Math.min(limitBytes, capacity));
        const former = buffer;
        former?.copy(grown, 0, 0, length);
        buffer = grown;
        onCapacity(grown.length - (former?.length ?? 0));
        if (former) {
            give(former);
        }
        return grown;
    }

    function release(): void {
        const former = buffer;
        buffer = undefined;
        if (former) {
            onCapacity(-former.length);
            give(former);
        }
    }

    return {
        add(chunk) {
            const end = length + chunk.length;
            if (end > limitBytes) {
                // The body is refused, so what was collected is not needed either.
                release();
            } else if (chunk.length > 0) {
                reserve(end).set(chunk, length);
            }
            length = end;
        },
        text() {
            if (length > limitBytes) {
                return undefined;
            }
            return buffer ? buffer.toString("utf8", 0, length) : "";
        },
        release,
    };
}
