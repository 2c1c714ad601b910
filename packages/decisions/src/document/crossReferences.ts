import type { ClientAccount, ConfigurationDocument, WorkKind, Rack } from "./documentTypes.ts";

/** A validation error of a document. `path` names the field, such as `kinds[2].clientAccounts[0]`. */
export interface DocumentProblem {
    path: string;
    problem: string;
}

/** Finds the fields of a well-formed document that contradict each other. */
export function crossReferenceProblems(document: ConfigurationDocument): DocumentProblem[] {
    return [
        ...duplicateNameProblems("clientAccounts", document.clientAccounts),
        ...duplicateNameProblems("kinds", document.kinds),
        ...duplicateNameProblems("racks", document.racks),
        ...sharedTokenProblems(document.clientAccounts),
        ...document.clientAccounts.flatMap(guaranteeProblems),
        ...document.kinds.flatMap((kind, position) => kindProblems(document, kind, position)),
        ...weightProblems(document),
    ];
}

function duplicateNameProblems(list: string, items: { name: string }[]): DocumentProblem[] {
    const seen = new Set<string>();
    const problems: DocumentProblem[] = [];
    for (const [position, { name }] of items.entries()) {
        if (seen.has(name)) {
            problems.push({ path: `${list}[${position}].name`, problem: `"${name}" is declared twice` });
        }
        seen.add(name);
    }
    return problems;
}

/** Rejects tokens that two accounts share, since either account could act as the other. */
function sharedTokenProblems(accounts: ClientAccount[]): DocumentProblem[] {
    const owners = new Map<string, string>();
    const problems: DocumentProblem[] = [];
    for (const [position, account] of accounts.entries()) {
        for (const [index, digest] of account.tokenDigests.entries()) {
            const owner = owners.get(digest);
            if (owner !== undefined) {
                const path = `clientAccounts[${position}].tokenDigests[${index}]`;
                problems.push({ path, problem: `the digest is already used by "${owner}"` });
            }
            owners.set(digest, account.name);
        }
    }
    return problems;
}

function guaranteeProblems(account: ClientAccount, position: number): DocumentProblem[] {
    const guaranteed = account.guarantees.reduce((sum, shape) => sum + shape.accelerators, 0);
    if (guaranteed <= account.quota.accelerators) {
        return [];
    }
    const path = `clientAccounts[${position}].guarantees`;
    const problem = `the guarantees add up to ${guaranteed} accelerators, more than the quota of ${account.quota.accelerators}`;
    return [{ path, problem }];
}

function kindProblems(document: ConfigurationDocument, kind: WorkKind, position: number): DocumentProblem[] {
    const problems: DocumentProblem[] = [];
    const accounts = new Set(document.clientAccounts.map(account => account.name));
    const named = new Set<string>();
    for (const [index, name] of kind.clientAccounts.entries()) {
        const path = `kinds[${position}].clientAccounts[${index}]`;
        if (!accounts.has(name)) {
            problems.push({ path, problem: `there is no client account "${name}"` });
        }
        if (named.has(name)) {
            problems.push({ path, problem: `"${name}" is listed twice` });
        }
        named.add(name);
    }
    return [
        ...problems,
        ...acceleratorLimitProblems(document.racks, kind, `kinds[${position}].limits.accelerators`),
    ];
}

function acceleratorLimitProblems(racks: Rack[], kind: WorkKind, path: string): DocumentProblem[] {
    const { accelerators } = kind.limits;
    if (kind.form === "request") {
        return accelerators === 0 ? [] : [{ path, problem: "must be 0 for a kind that runners answer" }];
    }
    if (accelerators === 0) {
        return [{ path, problem: "must be at least 1 for a kind that runs as a gang" }];
    }
    const largest = maxZoneAccelerators(racks);
    if (accelerators > largest) {
        const problem = `${accelerators} is more than the ${largest} accelerators of the largest availability zone`;
        return [{ path, problem }];
    }
    return [];
}

function maxZoneAccelerators(racks: Rack[]): number {
    const totals = new Map<string, number>();
    for (const rack of racks) {
        const total = totals.get(rack.availabilityZone) ?? 0;
        totals.set(rack.availabilityZone, total + rack.workers * rack.acceleratorsPerWorker);
    }
    return Math.max(0, ...totals.values());
}

function weightProblems({ weights }: ConfigurationDocument): DocumentProblem[] {
    return weights.completionTime + weights.fragmentation > 0
        ? []
        : [{ path: "weights", problem: "at least one weight must be above 0" }];
}
