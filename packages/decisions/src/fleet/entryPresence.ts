/** An entry's registration on the platform. */
export interface Registration {
    name: string;
    /** Random for each start of the process. */
    incarnation: string;
    /** `ip:port` of its peer listener. */
    address: string;
}

/** A registered entry as another entry sees it. `absentSince` is set while its key is missing. */
export interface EntryPresence {
    registration: Registration;
    absentSince: number | undefined;
}

/**
 * An entry whose key is missing this long is gone. After an outage of the platform all leases may have expired at
 * once, and this leaves every entry three renewals to register again.
 */
export const ENTRY_GONE_AFTER_MS = 10_000;

/** The presences after a listing at `now`, and the entries that have gone since the last one. */
export interface PresenceChange {
    present: Map<string, EntryPresence>;
    gone: Registration[];
}

/** Compares the known entries with a listing of the platform. A new incarnation ends the former one at once. */
export function updatePresence(
    known: Map<string, EntryPresence>,
    listed: Registration[],
    now: number,
): PresenceChange {
    const present = new Map<string, EntryPresence>();
    const gone: Registration[] = [];
    for (const registration of listed) {
        present.set(registration.name, { registration, absentSince: undefined });
        const former = known.get(registration.name)?.registration;
        if (former && former.incarnation !== registration.incarnation) {
            gone.push(former);
        }
    }
    for (const [name, { registration, absentSince = now }] of known) {
        if (present.has(name)) {
            continue;
        }
        if (now - absentSince >= ENTRY_GONE_AFTER_MS) {
            gone.push(registration);
            continue;
        }
        present.set(name, { registration, absentSince });
    }
    return { present, gone };
}

/** After a time without listings nothing is known about absences, so they are counted anew from the next listing. */
export function forgetAbsences(known: Map<string, EntryPresence>): Map<string, EntryPresence> {
    const present = new Map<string, EntryPresence>();
    for (const [name, { registration }] of known) {
        present.set(name, { registration, absentSince: undefined });
    }
    return present;
}
