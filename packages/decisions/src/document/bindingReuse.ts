import type { Configuration, ConfigurationDocument } from "./documentTypes.ts";

/**
 * Returns true if the current bindings are still valid under a new document, which is so if racks, accounts and
 * guarantees are equal. Reusing them avoids moving bindings, and the tasks that run on them, when only unrelated
 * fields change.
 */
export function canReuseBindings(current: Configuration | undefined, next: ConfigurationDocument): boolean {
    return current !== undefined && bindingInputs(current.document) === bindingInputs(next);
}

function bindingInputs(document: ConfigurationDocument): string {
    const guarantees = document.clientAccounts.map(({ name, guarantees: shapes }) => [name, shapes]);
    return JSON.stringify([document.racks, guarantees]);
}
