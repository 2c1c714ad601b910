import { expect } from "chai";
import fc from "fast-check";
import { createHeadScanner } from "./headScanner.ts";

describe("the scanner for the end of a head", () => {
    it("finds it wherever the head is cut", () => {
        const text = fc
            .array(fc.constantFrom("\r", "\n", "a", "\r\n"), { maxLength: 12 })
            .map(parts => parts.join(""));
        fc.assert(
            fc.property(text, fc.array(fc.integer({ min: 1, max: 5 }), { maxLength: 30 }), (before, cuts) => {
                const bytes = Buffer.from(`${before}\r\n\r\nrest`, "latin1");
                const expected = bytes.indexOf("\r\n\r\n") + 4;
                const scanner = createHeadScanner();
                let start = 0;
                for (const cut of [...cuts, bytes.length]) {
                    const slice = bytes.subarray(start, start + cut);
                    const length = scanner.headLength(slice);
                    if (start + slice.length >= expected) {
                        expect(start + length).to.equal(expected);
                        return;
                    }
                    expect(length).to.equal(slice.length);
                    start += slice.length;
                }
            }),
        );
    });
});
