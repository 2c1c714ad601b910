import { expect } from "chai";
import { campaignDelayOf } from "./campaignDelay.ts";

describe("the delay of a campaign", () => {
    // The grown deployments have entries of 0.32 to 1.35 cores, and the leader used 0.46 to 0.82 of a core.
    const large = { share: 0.675, speed: 2 };
    const small = { share: 0.324, speed: 1 };

    it("lets an entry with a large processor win against a small one, which would plan too slowly", () => {
        expect(campaignDelayOf(large, 1)).to.be.below(campaignDelayOf(small, 0));
    });

    it("keeps a fleet of tiny entries from standing without a leader for long", () => {
        expect(campaignDelayOf({ share: 0.01, speed: 1 }, 1)).to.be.at.most(260);
    });
});
