import { START_MARGIN_MS } from "@tanagerdeck/decisions/evacuation/startMargin";
import type { EvacuationView } from "@tanagerdeck/decisions/evacuation/evacuationTypes";
import { decodeOperatorKey, OPERATOR_PREFIX } from "@tanagerdeck/platform/manifest/operatorKeys";
import type { Clock } from "@tanagerdeck/runtime/clock/clock";
import { elapsedSince, type Instant } from "@tanagerdeck/runtime/clock/instant";
import type { EvacuationOptions } from "@tanagerdeck/store/manifest/evacuationFollower";

/** What an entry knows of evacuated availability zones. */
export interface EvacuationState {
    /** Options of the manifest's task, which supplies the knowledge. */
    following: EvacuationOptions;
    /** The latest view; undefined before the first. */
    view(): EvacuationView | undefined;
    /** The evacuated zones and the age of that knowledge at present; undefined while nothing is known. */
    notice(): { zones: string[]; ageMs: number } | undefined;
    /** Whether agents may hold starts back because their notices, which are older than the view, are too old. */
    areStartsHeld(): boolean;
}

/** Time for which a notice is used at an agent until the next call replaces it. */
const NOTICE_USE_MS = 1_000;

/** Dependencies of the state. */
export interface EvacuationStateOptions {
    clock: Clock;
    /** Time after the acknowledgement of an evacuation after which nothing may start in the zone, in milliseconds. */
    limitMs: number;
    /** The availability zones of the settings in force; undefined if they name none, so that every zone counts. */
    zones: () => Record<string, string> | undefined;
    /** Called with the first view and with each that differs from the one before. */
    changed: (view: EvacuationView) => void;
}

/** Creates the state of an entry that has not heard from the store. */
export function createEvacuationState({
    clock,
    limitMs,
    zones,
    changed,
}: EvacuationStateOptions): EvacuationState {
    let known: { view: EvacuationView; confirmedAt: Instant } | undefined;
    return {
        following: {
            prefix: OPERATOR_PREFIX,
            decodeKey: decodeOperatorKey,
            isKnownZone(zone) {
                const table = zones();
                return table === undefined || Object.hasOwn(table, zone);
            },
            onView(view, confirmedAt) {
                const isChanged = known?.view !== view;
                known = { view, confirmedAt };
                if (isChanged) {
                    changed(view);
                }
            },
        },
        view: () => known?.view,
        notice: () =>
            known && {
                zones: [...known.view.revisions.keys()],
                ageMs: elapsedSince(clock, known.confirmedAt),
            },
        areStartsHeld: () =>
            !known || elapsedSince(clock, known.confirmedAt) >= limitMs - START_MARGIN_MS - NOTICE_USE_MS,
    };
}
