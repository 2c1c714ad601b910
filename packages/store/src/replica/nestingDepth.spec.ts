import { expect } from "chai";
import { isNestedDeeperThan } from "./nestingDepth.ts";

describe("the nesting of a stored value", () => {
    const LIMIT = 100;

    function nested(levels: number): string {
        return '{"a":['.repeat(levels / 2) + "]}".repeat(levels / 2);
    }

    it("is limited to the given depth", () => {
        expect(isNestedDeeperThan(nested(LIMIT), LIMIT)).to.equal(false);
        expect(isNestedDeeperThan(nested(LIMIT + 2), LIMIT)).to.equal(true);
    });

    describe("with many brackets that nest nothing", () => {
        it("counts neither those of siblings nor those in strings", () => {
            expect(isNestedDeeperThan(`[${"[],".repeat(500)}0]`, LIMIT)).to.equal(false);
            expect(isNestedDeeperThan(JSON.stringify(`\\"${"[{".repeat(500)}`), LIMIT)).to.equal(false);
        });
    });
});
