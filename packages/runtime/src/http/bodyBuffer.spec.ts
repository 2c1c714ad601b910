import { expect } from "chai";
import fc from "fast-check";
import { createBodyBuffer, PAGE_BYTES, type BodyBuffer } from "./bodyBuffer.ts";

/** Guards against memory that grows with the number of chunks, and against bodies that are changed by their cuts. */
describe("a body buffer", () => {
    let capacity: number;
    let taken: number;

    function create(limitBytes: number): BodyBuffer {
        capacity = 0;
        taken = 0;
        return createBodyBuffer({
            limitBytes,
            take(size) {
                taken++;
                return Buffer.allocUnsafeSlow(size);
            },
            give: () => {},
            onCapacity(differenceBytes) {
                capacity += differenceBytes;
            },
        });
    }

    it("has the text of any chunks up to its limit, and refuses more", () => {
        fc.assert(
            fc.property(
                fc.array(fc.uint8Array({ maxLength: 3_000 }), { maxLength: 12 }),
                fc.nat(20_000),
                (chunks, limit) => {
                    const body = create(limit);
                    for (const chunk of chunks) {
                        body.add(chunk);
                        expect(capacity).to.be.below(limit + PAGE_BYTES);
                    }
                    const whole = Buffer.concat(chunks);
                    expect(body.text()).to.equal(whole.length > limit ? undefined : whole.toString("utf8"));
                    body.release();
                    expect(capacity).to.equal(0);
                },
            ),
        );
    });

    it("takes few buffers for 250,000 chunks of one byte", () => {
        const body = create(262_144);
        for (let count = 0; count < 250_000; count++) {
            body.add(Buffer.of(0x78));
        }
        expect(body.text()).to.equal("x".repeat(250_000));
        expect(capacity).to.equal(62 * PAGE_BYTES);
        expect(taken).to.equal(62);
    });

    it("holds nothing of a body beyond its limit", () => {
        const body = create(10_000);
        body.add(Buffer.alloc(9_000));
        body.add(Buffer.alloc(9_000));
        expect(capacity).to.equal(0);
        body.add(Buffer.alloc(10));
        expect(body.text()).to.equal(undefined);
    });
});
