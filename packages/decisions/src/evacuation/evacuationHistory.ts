import type { EvacuationView } from "./evacuationTypes.ts";

/** What the store has said of one availability zone last. */
interface ZoneNews {
    /** Store revision of the request or of its removal. */
    revision: number;
    isEvacuated: boolean;
}

/**
 * Requests for evacuations and their ends, as far as one process knows them. Listings, changes and removals may arrive in
 * any order; each counts only if it is newer than what is known of the zone.
 */
export interface EvacuationHistory {
    view: EvacuationView;
    news: ReadonlyMap<string, ZoneNews>;
    /** Revision of the newest complete listing; requests up to it that the listing lacked have ended. */
    listedRevision: number;
}

/** A zone whose evacuation has begun or ended, with the revision of the request. */
export interface EvacuationChange {
    zone: string;
    revision: number;
    isEvacuated: boolean;
}

/** A history without any news. */
export function createEvacuationHistory(): EvacuationHistory {
    return { view: { revisions: new Map() }, news: new Map(), listedRevision: 0 };
}

/** Applies a request, that is, a write of the zone's key. */
export function applyRequest(history: EvacuationHistory, zone: string, revision: number): EvacuationHistory {
    return applyNews(history, zone, { revision, isEvacuated: true });
}

/** Applies the removal of the zone's key. */
export function applyRemoval(history: EvacuationHistory, zone: string, revision: number): EvacuationHistory {
    return applyNews(history, zone, { revision, isEvacuated: false });
}

/**
 * Applies a complete listing: the revisions of all requests by zone, and the revision at which its first page was read. A
 * zone that the listing lacks is no longer evacuated, unless its request is newer than the listing.
 */
export function applyListing(
    history: EvacuationHistory,
    requests: ReadonlyMap<string, number>,
    revision: number,
): EvacuationHistory {
    let next = history;
    for (const [zone, requestedAt] of requests) {
        next = applyRequest(next, zone, requestedAt);
    }
    if (revision <= next.listedRevision) {
        return next;
    }
    const news = new Map<string, ZoneNews>();
    for (const [zone, known] of next.news) {
        // What the listing lacks and is not newer needs no entry, as `listedRevision` holds back late requests.
        if (known.revision > revision || (known.isEvacuated && requests.has(zone))) {
            news.set(zone, known);
        }
    }
    return { view: viewOf(next.view, news), news, listedRevision: revision };
}

/** The zones whose evacuation has begun or ended between two views. */
export function changesBetween(before: EvacuationView, after: EvacuationView): EvacuationChange[] {
    const changes: EvacuationChange[] = [];
    for (const [zone, revision] of after.revisions) {
        if (!before.revisions.has(zone)) {
            changes.push({ zone, revision, isEvacuated: true });
        }
    }
    for (const [zone, revision] of before.revisions) {
        if (!after.revisions.has(zone)) {
            changes.push({ zone, revision, isEvacuated: false });
        }
    }
    return changes;
}

function applyNews(history: EvacuationHistory, zone: string, update: ZoneNews): EvacuationHistory {
    const knownRevision = history.news.get(zone)?.revision ?? history.listedRevision;
    if (update.revision <= knownRevision) {
        return history;
    }
    const news = new Map(history.news).set(zone, update);
    return { ...history, view: viewOf(history.view, news), news };
}

/** The evacuated zones; the same object as `before` if nothing differs, so that a change can be told by identity. */
function viewOf(before: EvacuationView, news: ReadonlyMap<string, ZoneNews>): EvacuationView {
    const revisions = new Map<string, number>();
    for (const [zone, { revision, isEvacuated }] of news) {
        if (isEvacuated) {
            revisions.set(zone, revision);
        }
    }
    const isSame =
        revisions.size === before.revisions.size &&
        [...revisions].every(([zone, revision]) => before.revisions.get(zone) === revision);
    return isSame ? before : { revisions };
}
