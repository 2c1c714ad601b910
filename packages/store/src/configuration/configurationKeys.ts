/** Key of the accepted configuration of an environment. */
export function currentKey(environment: string): string {
    return `${environment}/configuration/current`;
}

/** Key of the history record of a revision; zero padding keeps the keys in numeric order. */
export function historyKey(environment: string, revision: number): string {
    return `${historyPrefix(environment)}${String(revision).padStart(10, "0")}`;
}

/** Prefix of all history records. */
export function historyPrefix(environment: string): string {
    return `${environment}/configuration/history/`;
}
