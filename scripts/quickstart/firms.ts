import type { Document } from "@tanagerdeck/decisions/document/documentTypes";
import { tokenDigest } from "@tanagerdeck/runtime/access/token";

/** One firm's environment in the quickstart. */
export interface Firm {
    environment: string;
    region: string;
    availabilityZones: string[];
    callerToken: string;
    /** Kind of the requests that the quickstart sends. */
    requestKind: string;
    document: Document;
}

/** The two firms with small documents. */
export const FIRMS: Firm[] = [
    createFirm("okahandja", "khomas", ["windhoek", "okahandja"], "quote", {
        completionTime: 3,
        fragmentation: 1,
    }),
    createFirm("caroni", "north", ["arima", "st-augustine"], "van-route", {
        completionTime: 1,
        fragmentation: 3,
    }),
];

function createFirm(
    environment: string,
    region: string,
    availabilityZones: string[],
    requestKind: string,
    weights: Document["weights"],
): Firm {
    const callerToken = `${environment}-quickstart-token`;
    const document: Document = {
        clientAccounts: [
            {
                name: "desk",
                tokenDigests: [tokenDigest(callerToken)],
                guarantees: [{ span: "rack", accelerators: 16 }],
                quota: { accelerators: 48, requestsPerSecond: 1_000, waiting: 1_000 },
                weight: 1,
            },
        ],
        kinds: [
            {
                name: requestKind,
                clientAccounts: ["desk"],
                repeatable: true,
                form: "request",
                limits: { seconds: 10, bytes: 100_000, accelerators: 0 },
                priority: "urgent",
            },
        ],
        racks: [
            { name: "rack-a", availabilityZone: availabilityZones[0]!, workers: 3, acceleratorsPerWorker: 8 },
            { name: "rack-b", availabilityZone: availabilityZones[0]!, workers: 3, acceleratorsPerWorker: 8 },
        ],
        weights,
        whenPlatformUnreachable: "serve-while-peers-agree",
    };
    return { environment, region, availabilityZones, callerToken, requestKind, document };
}
