import { createHash } from "node:crypto";

/** Computes the base64 SHA-256 digest of a body's UTF-8 bytes. */
export function bodyDigest(body: string): string {
    return createHash("sha256").update(body, "utf8").digest("base64");
}
