import type { Configuration, ConfigurationDocument } from "./documentTypes.ts";

/**
 * True if the current bindings still fit a new document: the same racks, accounts and guarantees. Keeping them
 * avoids moving bindings, and with them owned tasks, on every change of an unrelated field.
 */
export function canReuseBindings(current: Configuration | undefined, next: ConfigurationDocument): boolean {
    return current !== undefined && bindingInputs(current.document) === bindingInputs(next);
}

function bindingInputs(document: ConfigurationDocument): string {
    const guarantees = document.clientAccounts.map(({ name, guarantees: shapes }) => [name, shapes]);
    return JSON.stringify([document.racks, guarantees]);
}
