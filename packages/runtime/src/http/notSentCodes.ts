/** Error codes of connections that failed before any byte of the request was sent, so that it did not run. */
export const NOT_SENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);
