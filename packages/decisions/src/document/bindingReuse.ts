import type { Configuration, Document } from "./documentTypes.ts";

/**
 * True if the current bindings still fit a new document: the same racks, accounts and guarantees. Keeping them
 * avoids moving bindings, and with them owned tasks, on every change of an unrelated field.
 */
export function bindingsStillFit(current: Configuration | undefined, next: Document): boolean {
    return current !== undefined && hardwareAndGuarantees(current.document) === hardwareAndGuarantees(next);
}

function hardwareAndGuarantees(document: Document): string {
    const guarantees = document.clientAccounts.map(({ name, guarantees: shapes }) => [name, shapes]);
    return JSON.stringify([document.racks, guarantees]);
}
