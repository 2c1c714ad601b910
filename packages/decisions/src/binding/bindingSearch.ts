import { type Either, Left, Right } from "purify-ts/Either";
import type { Accelerator, Binding, ConfigurationDocument, Shape } from "../document/documentTypes.ts";
import { failure, type Failure } from "../verdict/verdictTypes.ts";
import {
    declaredCapacity,
    freeInRack,
    type RackCapacity,
    takeFromRack,
    takeFromSlot,
} from "./rackCapacity.ts";
import { compareShapes, MAX_SEARCH_STEPS, searchTargets, splitPairs, type Target } from "./shapeSearch.ts";

/** A guarantee to be bound to accelerators; `guarantee` is its position among the guarantees of the account. */
export interface Claim {
    clientAccount: string;
    guarantee: number;
    shape: Shape;
}

/**
 * Assigns every guaranteed shape to accelerators of the declared racks.
 * Fails with `infeasible`, naming a client account and shape that do not fit, or with `limit-exceeded` if the search
 * reaches `maxSteps` without a result.
 */
export function computeBindings(
    document: ConfigurationDocument,
    maxSteps = MAX_SEARCH_STEPS,
): Either<Failure, Binding[]> {
    const claims: Claim[] = [];
    for (const { name, guarantees } of document.clientAccounts) {
        for (const [guarantee, shape] of guarantees.entries()) {
            claims.push({ clientAccount: name, guarantee, shape });
        }
    }
    return bindClaims(declaredCapacity(document.racks), claims, maxSteps);
}

/** Binds the claims to free accelerators and removes these accelerators from `capacity`. */
export function bindClaims(
    capacity: RackCapacity[],
    claims: Claim[],
    maxSteps = MAX_SEARCH_STEPS,
): Either<Failure, Binding[]> {
    const ordered = [...claims].sort((left, right) => compareShapes(left.shape, right.shape));
    const result = searchTargets(
        capacity,
        ordered.map(claim => claim.shape),
        maxSteps,
    );
    if (result.kind === "found") {
        return Right(allocateTargets(capacity, ordered, result.targets).sort(byAccount(claims)));
    }
    const name = describeClaim(ordered[result.shape]!);
    if (result.kind === "undecided") {
        const detail = `${name}: no decision within the bound on search steps; it may or may not fit`;
        return Left(failure("not-run", "limit-exceeded", detail));
    }
    const detail = `${name} does not fit the racks together with the other guarantees`;
    return Left(failure("not-run", "infeasible", detail));
}

/** Describes a guarantee in an error message. */
function describeClaim({ clientAccount, guarantee, shape }: Claim): string {
    const place = shape.span === "neighbouring-racks" ? "two neighbouring racks" : `one ${shape.span}`;
    return `client account ${clientAccount}: guarantee ${guarantee} (${shape.accelerators} accelerators in ${place})`;
}

function byAccount(claims: Claim[]): (left: Binding, right: Binding) => number {
    const position = new Map(claims.map(({ clientAccount }, index) => [clientAccount, index]));
    return (left, right) =>
        position.get(left.clientAccount)! - position.get(right.clientAccount)! ||
        left.guarantee - right.guarantee;
}

function allocateTargets(capacity: RackCapacity[], claims: Claim[], targets: Target[]): Binding[] {
    const bindings: Binding[] = [];
    const pairs: { claim: Claim; rack: number }[] = [];
    for (const [position, claim] of claims.entries()) {
        const { rack, slot } = targets[position]!;
        if (claim.shape.span === "neighbouring-racks") {
            pairs.push({ claim, rack });
            continue;
        }
        const count = claim.shape.accelerators;
        const accelerators =
            slot === undefined
                ? takeFromRack(capacity[rack]!, count)
                : takeFromSlot(capacity[rack]!, slot, count);
        bindings.push({ ...claim, accelerators });
    }
    return [...bindings, ...allocatePairs(capacity, pairs)];
}

function allocatePairs(capacity: RackCapacity[], pairs: { claim: Claim; rack: number }[]): Binding[] {
    const demands = capacity.map(() => 0);
    for (const { claim, rack } of pairs) {
        demands[rack]! += claim.shape.accelerators;
    }
    const free = capacity.map(freeInRack);
    const splits: { left: number; right: number }[] = [];
    for (const [position, rack] of capacity.entries()) {
        if (rack.isFirstOfZone) {
            Object.assign(splits, splitPairs(capacity, free, demands, position));
        }
    }
    return pairs.map(({ claim, rack }) => ({
        ...claim,
        accelerators: takeFromPair(capacity, rack, splits[rack]!, claim.shape.accelerators),
    }));
}

function takeFromPair(
    capacity: RackCapacity[],
    rack: number,
    split: { left: number },
    count: number,
): Accelerator[] {
    const left = Math.min(split.left, count);
    split.left -= left;
    const taken = takeFromRack(capacity[rack]!, left);
    const { next } = capacity[rack]!;
    if (left < count && next !== undefined) {
        taken.push(...takeFromRack(capacity[next]!, count - left));
    }
    return taken;
}
