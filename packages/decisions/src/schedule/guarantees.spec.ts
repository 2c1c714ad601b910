import { expect } from "chai";
import { jobOf, resourcesOf, stepOf } from "@tanagerdeck/standins/plan/planFixture";
import { guaranteedJobs } from "./guarantees.ts";

describe("guaranteed jobs", () => {
    const gpus = (id: string, count: number, acceptedAtMs: number, clientAccount = "firm") => ({
        job: jobOf(id, [stepOf({ count, resources: resourcesOf(1, 4) })], { acceptedAtMs, clientAccount }),
        priority: 0,
    });
    const guarantee = (account: string) => (account === "firm" ? 16 : 0);

    it("are jobs of priority 0 in the order of acceptance, without those that no longer fit", () => {
        const covered = guaranteedJobs([gpus("c", 2, 3), gpus("a", 2, 1), gpus("b", 3, 2)], guarantee);
        expect([...covered].sort()).to.deep.equal(["a", "c"]);
    });

    it("exclude jobs of other priorities and of accounts without a guarantee", () => {
        const other = { ...gpus("p1", 1, 1), priority: 1 };
        expect(guaranteedJobs([other, gpus("none", 1, 1, "guest")], guarantee).size).to.equal(0);
    });
});
