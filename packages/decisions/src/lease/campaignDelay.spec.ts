import { expect } from "chai";
import { campaignDelayOf } from "./campaignDelay.ts";

describe("the delay of a campaign", () => {
    // In the enlarged deployments, entries have 0.32 to 1.35 standard cores, and the leader used 0.46 to 0.82 of one.
    const large = { share: 0.675, speed: 2 };
    const small = { share: 0.324, speed: 1 };

    it("makes an entry with more CPU campaign before a small one, which would plan too slowly", () => {
        expect(campaignDelayOf(large, 1)).to.be.below(campaignDelayOf(small, 0));
    });

    it("keeps a fleet of tiny entries from being without a leader for long", () => {
        expect(campaignDelayOf({ share: 0.01, speed: 1 }, 1)).to.be.at.most(260);
    });
});
