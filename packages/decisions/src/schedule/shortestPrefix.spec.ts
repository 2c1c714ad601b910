import { expect } from "chai";
import { shortestPrefix } from "./shortestPrefix.ts";

describe("the search for the shortest prefix", () => {
    it("finds the same prefix as trying one after the other", () => {
        for (let longest = 0; longest <= 17; longest++) {
            for (let needed = 1; needed <= longest + 1; needed++) {
                const found = shortestPrefix(longest, length => (length >= needed ? length : undefined));
                expect(found?.length).to.equal(needed <= longest ? needed : undefined);
                expect(found?.found).to.equal(found?.length);
            }
        }
    });

    it("gives up after one attempt if the whole list does not pass, which is the usual case under load", () => {
        let attempts = 0;
        shortestPrefix(1_000, () => {
            attempts += 1;
            return undefined;
        });
        expect(attempts).to.equal(1);
    });

    it("needs few attempts for a long list", () => {
        let attempts = 0;
        shortestPrefix(1_000, length => {
            attempts += 1;
            return length >= 700 ? length : undefined;
        });
        expect(attempts).to.be.at.most(11);
    });
});
