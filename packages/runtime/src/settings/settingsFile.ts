import { readFileSync } from "node:fs";
import { Either, Left, Right } from "purify-ts/Either";
import { z } from "zod";

const SHOWN_VALUE_LENGTH = 100;

/** Reads and validates a JSON settings file. The error text has one line for each problem, as by `describeIssue`. */
export function readSettings<T>(path: string, schema: z.ZodType<T>): Either<string, T> {
    let value: unknown;
    try {
        value = JSON.parse(readFileSync(path, "utf8"));
    } catch (error) {
        return Left(`The settings file cannot be read: ${String(error)}.`);
    }
    const parsed = schema.safeParse(value);
    if (!parsed.success) {
        return Left(parsed.error.issues.map(issue => describeIssue(issue, value)).join("\n"));
    }
    return Right(parsed.data);
}

/** Describes a validation issue in one line with its path, the allowed values and the actual value, unless a token. */
export function describeIssue(issue: z.core.$ZodIssue, root: unknown): string {
    const path = formatPath(issue.path);
    if (issue.code === "unrecognized_keys" || /token/i.test(path)) {
        return `${path}: ${issue.message}`;
    }
    const seen = JSON.stringify(valueAt(root, issue.path))?.slice(0, SHOWN_VALUE_LENGTH);
    return `${path}: ${issue.message}; the value is ${seen ?? "missing"}`;
}

function formatPath(path: PropertyKey[]): string {
    let formatted = "";
    for (const key of path) {
        const separator = formatted === "" ? "" : ".";
        formatted += typeof key === "number" ? `[${key}]` : `${separator}${String(key)}`;
    }
    return formatted || "(root)";
}

function valueAt(root: unknown, path: PropertyKey[]): unknown {
    let current = root;
    for (const key of path) {
        if (typeof current !== "object" || !current) {
            return undefined;
        }
        current = (current as Record<PropertyKey, unknown>)[key];
    }
    return current;
}
