import type {
    ClientAccount,
    ConfigurationDocument,
    WorkKind,
    Rack,
    Shape,
} from "../document/documentTypes.ts";
import { failure, type Failure } from "../verdict/verdictTypes.ts";

/** The properties of a submitted job that decide whether it is admitted. */
export interface JobDeclaration {
    clientAccount: string;
    kind: string;
    shape: Shape;
    seconds: number;
    bodyBytes: number;
}

/** Finds the kind that a job names among the gang kinds that its client account may use. */
export function findGangKind(
    document: ConfigurationDocument,
    declaration: JobDeclaration,
): WorkKind | undefined {
    for (const kind of document.kinds) {
        const usable = kind.form === "gang" && kind.clientAccounts.includes(declaration.clientAccount);
        if (usable && kind.name === declaration.kind) {
            return kind;
        }
    }
    return undefined;
}

/** The reason for which a job can never run under this document, even on an idle fleet; undefined if it can run. */
export function jobRefusal(
    document: ConfigurationDocument,
    declaration: JobDeclaration,
): Failure | undefined {
    const kind = findGangKind(document, declaration);
    if (!kind) {
        return failure("not-run", "invalid", "The gang kind is not registered for this client account.");
    }
    const { shape, seconds, bodyBytes } = declaration;
    const { limits } = kind;
    if (seconds > limits.seconds || bodyBytes > limits.bytes || shape.accelerators > limits.accelerators) {
        return failure("not-run", "limit-exceeded", "The job exceeds the limits of its kind.");
    }
    const account = findAccount(document, declaration.clientAccount);
    if (!account || shape.accelerators > account.quota.accelerators) {
        return failure("not-run", "infeasible", "The job exceeds the client account's accelerator quota.");
    }
    if (shape.accelerators > maxShapeAccelerators(document.racks, shape)) {
        return failure("not-run", "infeasible", "No declared hardware is large enough for this shape.");
    }
    return undefined;
}

/** Finds the client account with this name. */
export function findAccount(document: ConfigurationDocument, name: string): ClientAccount | undefined {
    return document.clientAccounts.find(account => account.name === name);
}

/** The number of accelerators in the largest shape that the declared hardware can hold within this shape's span. */
function maxShapeAccelerators(racks: Rack[], shape: Shape): number {
    let largest = 0;
    for (const [position, rack] of racks.entries()) {
        const size = rack.workers * rack.acceleratorsPerWorker;
        const next = racks[position + 1];
        const neighbour = next?.availabilityZone === rack.availabilityZone ? next : undefined;
        const bySpan: Record<Shape["span"], number> = {
            worker: rack.acceleratorsPerWorker,
            rack: size,
            "neighbouring-racks":
                size + (neighbour ? neighbour.workers * neighbour.acceleratorsPerWorker : 0),
        };
        largest = Math.max(largest, bySpan[shape.span]);
    }
    return largest;
}
