/** Buffers that collected a body and can collect another one. */
export interface BufferPool {
    /** Bytes of the buffers that wait for their next use. */
    readonly bytes: number;
    take(size: number): Buffer;
    /** Takes a buffer back; it is dropped if the pool would hold more than `limitBytes`. */
    give(buffer: Buffer, limitBytes: number): void;
    clear(): void;
}

/**
 * Creates an empty pool. The memory of dropped buffers lies outside the JavaScript heap and is freed only by a garbage
 * collection of the old generation, so clients that connect again and again could otherwise use up the memory.
 */
export function createBufferPool(): BufferPool {
    const free = new Map<number, Buffer[]>();
    let bytes = 0;
    return {
        get bytes() {
            return bytes;
        },
        take(size) {
            const buffer = free.get(size)?.pop();
            if (!buffer) {
                return Buffer.allocUnsafeSlow(size);
            }
            bytes -= size;
            return buffer;
        },
        give(buffer, limitBytes) {
            if (bytes + buffer.length > limitBytes) {
                return;
            }
            bytes += buffer.length;
            const sameSize = free.get(buffer.length);
            if (sameSize) {
                sameSize.push(buffer);
            } else {
                free.set(buffer.length, [buffer]);
            }
        },
        clear() {
            free.clear();
            bytes = 0;
        },
    };
}
