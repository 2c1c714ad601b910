import {
    applyListing,
    applyRemoval,
    applyRequest,
    changesBetween,
    createEvacuationHistory,
} from "@tanagerdeck/decisions/evacuation/evacuationHistory";
import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import type { OperatorKey } from "@tanagerdeck/decisions/manifest/manifestTypes";
import type { Instant } from "@tanagerdeck/runtime/clock/instant";
import type { Log } from "@tanagerdeck/runtime/log/log";
import type { Change } from "../keyvalue/keyValueTypes.ts";
import type { Listing } from "../keyvalue/listing.ts";

/** What the manifest task needs to follow evacuations beside the manifest. */
export interface EvacuationOptions {
    /** Prefix of all the operators' keys, that of the manifest among them. */
    prefix: string;
    /** Decodes a key below the prefix; undefined if it means nothing. */
    decodeKey: (key: string) => OperatorKey | undefined;
    /** Whether the availability zone exists; requests for others have no effect. */
    isKnownZone: (zone: string) => boolean;
    /**
     * Called after each reply with the view that it confirms and the time as of which it does so, whatever the delay of the
     * reply. The view is the same object while it does not change.
     */
    onView: (view: EvacuationView, confirmedAt: Instant) => void;
}

/** Follows the operators' keys other than the manifest. */
export interface EvacuationFollower {
    /** Applies a complete listing. */
    listed(listing: Listing, confirmedAt: Instant): void;
    /** Applies the changes of a watch, and confirms the view if there are none. */
    changed(reply: { changes: Change[]; revision: number }, confirmedAt: Instant): void;
    /** Features that keys ask for and that do not exist. */
    unsupported(): string[];
}

/** Creates a follower without any knowledge. */
export function createEvacuationFollower(options: EvacuationOptions, log: Log): EvacuationFollower {
    const { decodeKey, isKnownZone, onView } = options;
    let history = createEvacuationHistory();
    let view = history.view;
    /** Revision of the newest reply, and the time as of which it shows the store. */
    let newest: { revision: number; confirmedAt: Instant } | undefined;
    const loggedZones = new Set<string>();
    const unsupportedKeys = new Map<string, string>();

    function noteUnsupported(key: string, decoded: OperatorKey | undefined, isPresent: boolean): void {
        if (decoded?.kind !== "unsupported") {
            return;
        }
        if (isPresent) {
            unsupportedKeys.set(key, decoded.feature);
        } else {
            unsupportedKeys.delete(key);
        }
    }

    /** The view without zones that do not exist, which the settings name anew after a reload. */
    function viewOfKnownZones(): EvacuationView {
        const revisions = new Map<string, number>();
        for (const [zone, revision] of history.view.revisions) {
            if (isKnownZone(zone)) {
                revisions.set(zone, revision);
            } else if (!loggedZones.has(zone)) {
                loggedZones.add(zone);
                log.warn("An unknown zone is to be evacuated; it is ignored.", { zone, revision });
            }
        }
        const isSame =
            revisions.size === view.revisions.size &&
            [...revisions].every(([zone, revision]) => view.revisions.get(zone) === revision);
        return isSame ? view : { revisions };
    }

    /** An older reply may tell of a change, but does not confirm that nothing else has changed since. */
    function publish(revision: number, confirmedAt: Instant): void {
        newest = newest && newest.revision > revision ? newest : { revision, confirmedAt };
        const next = viewOfKnownZones();
        for (const { zone, revision, isEvacuated } of changesBetween(view, next)) {
            const message = isEvacuated ? "A zone is evacuated." : "The evacuation of a zone has ended.";
            log.info(message, { zone, revision });
        }
        view = next;
        onView(view, newest.confirmedAt);
    }

    return {
        listed({ items, revision }, confirmedAt) {
            const requests = new Map<string, number>();
            unsupportedKeys.clear();
            for (const item of items) {
                const decoded = decodeKey(item.key);
                noteUnsupported(item.key, decoded, true);
                if (decoded?.kind === "evacuation") {
                    requests.set(decoded.zone, item.revision);
                }
            }
            history = applyListing(history, requests, revision);
            publish(revision, confirmedAt);
        },
        changed({ changes, revision }, confirmedAt) {
            for (const { key, revision: changedAt, value } of changes) {
                const decoded = decodeKey(key);
                noteUnsupported(key, decoded, value !== undefined);
                if (decoded?.kind === "evacuation") {
                    const apply = value === undefined ? applyRemoval : applyRequest;
                    history = apply(history, decoded.zone, changedAt);
                }
            }
            publish(revision, confirmedAt);
        },
        unsupported: () => [...unsupportedKeys.values()],
    };
}
