/** An entry's registration in the platform's store. */
export interface Registration {
    name: string;
    /** Random id of one run of the process. */
    incarnation: string;
    /** `ip:port` of its peer listener. */
    address: string;
}

/** A registered entry as another entry sees it. `absentSince` is set while the entry's key is missing. */
export interface EntryPresence {
    registration: Registration;
    absentSince: number | undefined;
}

/**
 * An entry counts as gone once its key has been missing for this time. After an outage of the platform the leases of
 * all entries may have expired at once; the time covers three renewals, in which each entry can register again.
 */
export const ENTRY_GONE_AFTER_MS = 10_000;

/** Result of a listing: the entries that count as present, and the registrations that ended since the last listing. */
export interface PresenceChange {
    present: Map<string, EntryPresence>;
    gone: Registration[];
}

/** Compares the known entries with a listing at `now`. A new incarnation of an entry ends the earlier one at once. */
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

/**
 * Clears `absentSince` of all entries, for use after a time without listings. A key may have been present in that
 * time, so absences are measured again from the next listing.
 */
export function forgetAbsences(known: Map<string, EntryPresence>): Map<string, EntryPresence> {
    const present = new Map<string, EntryPresence>();
    for (const [name, { registration }] of known) {
        present.set(name, { registration, absentSince: undefined });
    }
    return present;
}
