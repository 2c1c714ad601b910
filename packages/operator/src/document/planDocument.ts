import type { Either } from "purify-ts/Either";
import { diffValues, type DocumentChange } from "@tanagerdeck/decisions/document/documentDiff";
import type { Binding, Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import type { Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";
import { checkDocument } from "./checkDocument.ts";

/** Effect that applying a document would have. */
export interface Plan {
    currentRevision: number;
    currentDigest: string | undefined;
    digest: string;
    changes: DocumentChange[];
    /** Guarantees that would be bound to other accelerators than now, as `account/position`. */
    movedBindings: string[];
}

/** Checks a document and compares it with the current configuration, without writing anything. */
export function planDocument(text: string, current: Configuration | undefined): Either<Failure, Plan> {
    return checkDocument(text, current).map(({ document, digest, bindings }) => ({
        currentRevision: current?.revision ?? 0,
        currentDigest: current?.digest,
        digest,
        changes: diffValues(current?.document ?? {}, document),
        movedBindings: findMovedBindings(current?.bindings ?? [], bindings),
    }));
}

function findMovedBindings(before: Binding[], after: Binding[]): string[] {
    const acceleratorsBefore = new Map(
        before.map(binding => [bindingKey(binding), JSON.stringify(binding.accelerators)]),
    );
    const moved: string[] = [];
    for (const binding of after) {
        if (acceleratorsBefore.get(bindingKey(binding)) !== JSON.stringify(binding.accelerators)) {
            moved.push(bindingKey(binding));
        }
    }
    return moved;
}

function bindingKey({ clientAccount, guarantee }: Binding): string {
    return `${clientAccount}/${guarantee}`;
}
