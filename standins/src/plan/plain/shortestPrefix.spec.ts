import { expect } from "chai";
import { shortestPrefix } from "./shortestPrefix.ts";

describe("shortestPrefix", () => {
    it("finds the same prefix as a linear search", () => {
        for (let longest = 0; longest <= 17; longest++) {
            for (let needed = 1; needed <= longest + 1; needed++) {
                const found = shortestPrefix(longest, length => (length >= needed ? length : undefined));
                expect(found?.length).to.equal(needed <= longest ? needed : undefined);
                expect(found?.found).to.equal(found?.length);
            }
        }
    });

    it("stops after one attempt if the whole list fails, which is the usual case under load", () => {
        let attempts = 0;
        shortestPrefix(1_000, () => {
            attempts += 1;
            return undefined;
        });
        expect(attempts).to.equal(1);
    });

    it("needs a logarithmic number of attempts", () => {
        let attempts = 0;
        shortestPrefix(1_000, length => {
            attempts += 1;
            return length >= 700 ? length : undefined;
        });
        expect(attempts).to.be.at.most(11);
    });
});
