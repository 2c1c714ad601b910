/** Codes of connection errors that occur before any byte of a request is sent, so that the request did not run. */
export const NOT_SENT_CODES: ReadonlySet<string> = new Set([
    "ECONNREFUSED",
    "EHOSTUNREACH",
    "ENETUNREACH",
    "UND_ERR_CONNECT_TIMEOUT",
]);
