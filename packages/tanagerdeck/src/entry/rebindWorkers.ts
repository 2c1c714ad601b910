import { Left, Right } from "purify-ts/Either";
import { rebind } from "@tanagerdeck/decisions/binding/rebinding";
import { failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import type { Rebind } from "@tanagerdeck/store/configuration/rebindingTask";

/**
 * Moves the bindings of all missing workers in one step, so that one configuration revision covers them.
 * Bindings that fit nowhere else stay where they are; it fails if no binding can be moved.
 */
export const rebindWorkers: Rebind = (document, bindings, missing) => {
    const { bindings: rebound, moved, unplaced } = rebind(bindings, document, missing);
    return moved.length > 0
        ? Right(rebound)
        : Left(
              failure(
                  "not-run",
                  "infeasible",
                  `Cannot move ${unplaced.length} bindings: too few unbound accelerators.`,
              ),
          );
};
