import type { ConfigurationDocument } from "@tanagerdeck/decisions/document/documentTypes";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";

/** The environment of one firm in the quickstart: its zones, tokens, kinds and configuration document. */
export interface Firm {
    environment: string;
    region: string;
    availabilityZones: string[];
    /** Token of the account `desk`, which sends the requests. */
    callerToken: string;
    /** Token of the account `planning`, which submits the gang jobs. */
    planningToken: string;
    /** Kind of most requests; it may be repeated. */
    requestKind: string;
    /** Further kinds of requests that may be repeated. */
    otherRepeatableKinds: string[];
    /** Kind of the requests that may not be repeated. */
    nonRepeatableKind: string;
    gangKind: string;
    document: ConfigurationDocument;
}

/** The two firms of the quickstart, with small configuration documents. */
export const FIRMS: Firm[] = [
    createFirm("okahandja", "khomas", ["windhoek", "okahandja"], {
        kinds: {
            requestKind: "quote",
            otherRepeatableKinds: ["fleet-check"],
            nonRepeatableKind: "booking",
            gangKind: "delivery-routes",
        },
        weights: { completionTime: 3, fragmentation: 1 },
    }),
    createFirm("caroni", "north", ["arima", "st-augustine"], {
        kinds: {
            requestKind: "van-route",
            otherRepeatableKinds: ["expiry-scan"],
            nonRepeatableKind: "dispatch",
            gangKind: "restock-forecast",
        },
        weights: { completionTime: 1, fragmentation: 3 },
    }),
];

type FirmKinds = Pick<Firm, "requestKind" | "otherRepeatableKinds" | "nonRepeatableKind" | "gangKind">;

function createFirm(
    environment: string,
    region: string,
    availabilityZones: string[],
    { kinds, weights }: { kinds: FirmKinds; weights: ConfigurationDocument["weights"] },
): Firm {
    const callerToken = `${environment}-quickstart-token`;
    const planningToken = `${environment}-quickstart-planning-token`;
    const quota = { accelerators: 48, requestsPerSecond: 1_000, waiting: 1_000 };
    const rack = { availabilityZone: availabilityZones[0]!, workers: 3, acceleratorsPerWorker: 8 };
    const document: ConfigurationDocument = {
        clientAccounts: [
            {
                name: "desk",
                tokenDigests: [tokenDigest(callerToken)],
                guarantees: [{ span: "worker", accelerators: 8 }],
                quota,
                weight: 1,
            },
            {
                name: "planning",
                tokenDigests: [tokenDigest(planningToken)],
                guarantees: [{ span: "rack", accelerators: 16 }],
                quota,
                weight: 1,
            },
        ],
        kinds: [
            requestKind(kinds.requestKind, true),
            ...kinds.otherRepeatableKinds.map(name => requestKind(name, true)),
            requestKind(kinds.nonRepeatableKind, false),
            {
                name: kinds.gangKind,
                clientAccounts: ["planning"],
                repeatable: true,
                form: "gang",
                limits: { seconds: 60, bytes: 100_000, accelerators: 48 },
                priority: "batch",
            },
        ],
        racks: [
            { name: "rack-a", ...rack },
            { name: "rack-b", ...rack },
        ],
        weights,
        whenPlatformUnreachable: "serve-while-peers-agree",
    };
    return { environment, region, availabilityZones, callerToken, planningToken, ...kinds, document };
}

function requestKind(name: string, repeatable: boolean): ConfigurationDocument["kinds"][number] {
    return {
        name,
        clientAccounts: ["desk"],
        repeatable,
        form: "request",
        limits: { seconds: 10, bytes: 100_000, accelerators: 0 },
        priority: "urgent",
    };
}
