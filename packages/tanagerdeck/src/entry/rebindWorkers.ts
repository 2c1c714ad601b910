import { Left, Right } from "purify-ts/Either";
import { rebind } from "@tanagerdeck/decisions/binding/rebinding";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Rebind } from "@tanagerdeck/store/configuration/rebindingTask";

/** Moves all bindings that fit elsewhere off the gone workers at once; fails if none does. */
export const rebindWorkers: Rebind = (document, bindings, missing) => {
    const { bindings: rebound, moved: movedBindings, unplaced } = rebind(bindings, document, missing);
    return movedBindings.length > 0
        ? Right(rebound)
        : Left(failure("not-run", "infeasible", `No other place is free for ${unplaced.length} bindings.`));
};
