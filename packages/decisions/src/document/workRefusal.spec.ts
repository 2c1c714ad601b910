import { expect } from "chai";
import type { Configuration, UnreachablePolicy } from "./documentTypes.ts";
import { workRefusal, type PeerEntryStatus } from "./workRefusal.ts";

const WITHOUT_PLATFORM: PeerEntryStatus = { answeredAgoMs: 4_000, platformReachable: false };
const WITH_PLATFORM: PeerEntryStatus = { answeredAgoMs: 4_000, platformReachable: true };
const ANSWERED_TOO_LONG_AGO: PeerEntryStatus = { answeredAgoMs: 11_001, platformReachable: false };
const NEVER_ANSWERED: PeerEntryStatus = { answeredAgoMs: undefined, platformReachable: false };

describe("refusal of new work", () => {
    describe("without a configuration", () => {
        it("refuses, even after a recent confirmation", () => {
            expect(workRefusal(undefined, 0, [])).to.equal("no-configuration");
        });
    });

    describe("with a confirmation of at most 15 s ago", () => {
        it("serves under every policy", () => {
            for (const policy of ["serve", "serve-while-peers-agree", "refuse"] as const) {
                expect(workRefusal(configuration(policy), 15_000, [NEVER_ANSWERED])).to.equal(undefined);
            }
        });
    });

    describe("with an older confirmation or none", () => {
        const cases: [UnreachablePolicy, string, PeerEntryStatus[], boolean][] = [
            ["serve", "no other entry can be reached", [ANSWERED_TOO_LONG_AGO], true],
            ["refuse", "no other entry can reach the platform", [WITHOUT_PLATFORM], false],
            ["refuse", "there is no other entry", [], false],
            ["serve-while-peers-agree", "there is no other entry", [], true],
            [
                "serve-while-peers-agree",
                "no reachable entry can reach the platform",
                [WITHOUT_PLATFORM, ANSWERED_TOO_LONG_AGO],
                true,
            ],
            [
                "serve-while-peers-agree",
                "one reachable entry can reach the platform",
                [WITHOUT_PLATFORM, WITH_PLATFORM],
                false,
            ],
            [
                "serve-while-peers-agree",
                "no other entry answered recently",
                [ANSWERED_TOO_LONG_AGO, NEVER_ANSWERED],
                false,
            ],
        ];
        for (const [policy, situation, others, serves] of cases) {
            it(`${serves ? "serves" : "refuses"} with "${policy}" when ${situation}`, () => {
                const expected = serves ? undefined : "stale-configuration";
                expect(workRefusal(configuration(policy), 15_001, others)).to.equal(expected);
                expect(workRefusal(configuration(policy), undefined, others)).to.equal(expected);
            });
        }
    });
});

function configuration(policy: UnreachablePolicy): Configuration {
    const document = {
        clientAccounts: [],
        kinds: [],
        racks: [],
        weights: { completionTime: 1, fragmentation: 1 },
        whenPlatformUnreachable: policy,
    };
    return { revision: 1, digest: "", changeId: "c", document, bindings: [] };
}
