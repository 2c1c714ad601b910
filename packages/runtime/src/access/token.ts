import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

const BEARER_PREFIX = "Bearer ";

/** The hex SHA-256 digest of a token. */
export function tokenDigest(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}

/** The bearer token of a request, or undefined. */
export function bearerToken(request: IncomingMessage): string | undefined {
    const header = request.headers.authorization;
    if (!header?.startsWith(BEARER_PREFIX)) {
        return undefined;
    }
    return header.slice(BEARER_PREFIX.length);
}

/** Compares a token with a hex digest in constant time. */
export function matchesDigest(token: string, digest: string): boolean {
    return digestMatcher(token)(digest);
}

/** Compares one token with many hex digests, each in constant time; the token is hashed once. */
export function digestMatcher(token: string): (digest: string) => boolean {
    const actual = createHash("sha256").update(token).digest();
    return digest => {
        const expected = Buffer.from(digest, "hex");
        return expected.length === actual.length && timingSafeEqual(actual, expected);
    };
}
