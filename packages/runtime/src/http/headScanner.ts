/** Finds the end of a head in the slices that its bytes arrive in. */
export interface HeadScanner {
    /** Number of bytes of a slice up to the end of the head, or all if the head does not end there. */
    headLength(slice: Buffer): number;
    /** Begins with the next head. */
    reset(): void;
}

const HEAD_END = Buffer.from("\r\n\r\n", "latin1");

/** Creates a scanner for the empty line that ends a head. */
export function createHeadScanner(): HeadScanner {
    /** Number of bytes at the end of the former slices that may begin the empty line. */
    let matched = 0;

    /** Length of the rest of the empty line at the start of a slice; 0 if the line does not end there. */
    function restLength(slice: Buffer): number {
        const rest = HEAD_END.length - matched;
        const fits = slice.length >= rest && slice.compare(HEAD_END, matched, HEAD_END.length, 0, rest) === 0;
        return matched > 0 && fits ? rest : 0;
    }

    function noteEnd(slice: Buffer): void {
        const before = slice.length < HEAD_END.length ? HEAD_END.subarray(0, matched) : Buffer.alloc(0);
        const end = Buffer.concat([before, slice.subarray(-HEAD_END.length)]);
        matched = 0;
        for (let length = Math.min(HEAD_END.length - 1, end.length); length > 0; length--) {
            if (end.compare(HEAD_END, 0, length, end.length - length) === 0) {
                matched = length;
                return;
            }
        }
    }

    return {
        headLength(slice) {
            const found = restLength(slice);
            if (found > 0) {
                matched = 0;
                return found;
            }
            const start = slice.indexOf(HEAD_END);
            if (start >= 0) {
                matched = 0;
                return start + HEAD_END.length;
            }
            noteEnd(slice);
            return slice.length;
        },
        reset() {
            matched = 0;
        },
    };
}
