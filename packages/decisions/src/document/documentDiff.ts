/** One difference between two documents; `before` or `after` is undefined if that document lacks the field. */
export interface DocumentChange {
    path: string;
    change: "added" | "removed" | "changed";
    before: unknown;
    after: unknown;
}

/** Lists the differences between two JSON values. Lists whose items all have a `name` are matched by name. */
export function diffValues(before: unknown, after: unknown, path = ""): DocumentChange[] {
    if (isRecord(before) && isRecord(after)) {
        return diffFields(before, after, path, (parent, key) => (parent === "" ? key : `${parent}.${key}`));
    }
    if (isNamedList(before) && isNamedList(after)) {
        return diffFields(byName(before), byName(after), path, (parent, key) => `${parent}[${key}]`);
    }
    if (JSON.stringify(before) === JSON.stringify(after)) {
        return [];
    }
    const change = before === undefined ? "added" : after === undefined ? "removed" : "changed";
    return [{ path, change, before, after }];
}

type Fields = Record<string, unknown>;

function diffFields(
    before: Fields,
    after: Fields,
    path: string,
    childPath: (parent: string, key: string) => string,
): DocumentChange[] {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap(key => diffValues(before[key], after[key], childPath(path, key)));
}

function isRecord(value: unknown): value is Fields {
    return typeof value === "object" && Boolean(value) && !Array.isArray(value);
}

function isNamedList(value: unknown): value is { name: string }[] {
    return Array.isArray(value) && value.every(item => isRecord(item) && typeof item.name === "string");
}

function byName(items: { name: string }[]): Fields {
    return Object.fromEntries(items.map(item => [item.name, item]));
}
