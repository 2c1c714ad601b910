import { createHash, timingSafeEqual } from "node:crypto";
import type { IncomingMessage } from "node:http";

const BEARER_PREFIX = "Bearer ";

/** Computes the hex SHA-256 digest of a token, as it is declared in the configuration. */
export function tokenDigest(token: string): string {
    return createHash("sha256").update(token).digest("hex");
}

/** Reads the bearer token of a request; undefined if there is none. */
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

/** Returns a function that compares a token with hex digests in constant time. The token is hashed only once. */
export function digestMatcher(token: string): (digest: string) => boolean {
    const actual = createHash("sha256").update(token).digest();
    return digest => {
        const expected = Buffer.from(digest, "hex");
        return expected.length === actual.length && timingSafeEqual(actual, expected);
    };
}
