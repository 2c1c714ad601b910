/** Size of the pages that bodies are collected in; most bodies take one. */
export const PAGE_BYTES = 4_096;

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
 * Creates a buffer that grows by pages, so that its memory depends on the bytes received and not on the number of chunks
 * or on the length that the client has announced. Pages have one size, since each can then be used for any other body; a
 * buffer that doubles leaves one of each smaller size behind, and 900 bodies made 30 MB more garbage that way.
 */
export function createBodyBuffer({ limitBytes, take, give, onCapacity }: BodyBufferOptions): BodyBuffer {
    let pages: Buffer[] = [];
    let length = 0;

    /** The page for the next byte. */
    function pageAt(offset: number): Buffer {
        const index = Math.floor(offset / PAGE_BYTES);
        const page = pages[index] ?? take(PAGE_BYTES);
        if (index === pages.length) {
            pages.push(page);
            onCapacity(PAGE_BYTES);
        }
        return page;
    }

    function append(chunk: Uint8Array): void {
        let copied = 0;
        while (copied < chunk.length) {
            const offset = length + copied;
            const start = offset % PAGE_BYTES;
            const part = chunk.subarray(copied, copied + PAGE_BYTES - start);
            pageAt(offset).set(part, start);
            copied += part.length;
        }
    }

    function release(): void {
        const released = pages;
        pages = [];
        for (const page of released) {
            give(page);
        }
        if (released.length > 0) {
            onCapacity(-released.length * PAGE_BYTES);
        }
    }

    return {
        add(chunk) {
            if (length + chunk.length > limitBytes) {
                // The body is refused, so what was collected is not needed either.
                release();
            } else {
                append(chunk);
            }
            length += chunk.length;
        },
        text() {
            if (length > limitBytes) {
                return undefined;
            }
            const [first] = pages;
            if (!first) {
                return "";
            }
            return pages.length === 1
                ? first.toString("utf8", 0, length)
                : Buffer.concat(pages, length).toString("utf8");
        },
        release,
    };
}
