import type { Rack } from "../document/documentTypes.ts";
import { SUSPECT_AFTER_MS, type Member } from "./memberState.ts";
import type { Report, ReportReply } from "./reportTypes.ts";

/** Decision about a report. An `outdated` report arrived after a newer one and changes nothing. */
export type ReportAdmission =
    | { kind: "accepted" }
    | { kind: "outdated" }
    | { kind: "refused"; refusal: NonNullable<ReportReply["refusal"]> };

/** State of the fleet view that the admission of a report depends on. */
export interface AdmissionContext {
    now: number;
    /** The known agent with the report's name. */
    known: Member | undefined;
    /** The known agent at the rack and slot that the report names. */
    atPosition: Member | undefined;
    /** The declared rack that the report names. */
    rack: Rack | undefined;
    /** False while there is no configuration; the worker's position is then not checked. */
    racksKnown: boolean;
}

/** Decides whether an entry accepts a report into its fleet view. */
export function admitReport(report: Report, context: AdmissionContext): ReportAdmission {
    const { known, now } = context;
    if (known && known.report.incarnation === report.incarnation) {
        if (report.sequence <= known.report.sequence) {
            return { kind: "outdated" };
        }
    } else if (known && isReporting(known, now)) {
        return { kind: "refused", refusal: "name-in-use" };
    }
    const refusal = report.worker && context.racksKnown ? positionRefusal(report, context) : undefined;
    return refusal ? { kind: "refused", refusal } : { kind: "accepted" };
}

function positionRefusal(report: Report, context: AdmissionContext): ReportReply["refusal"] {
    const { worker } = report;
    const { rack, atPosition, now } = context;
    if (!worker || !rack || worker.slot >= rack.workers) {
        return "wrong-position";
    }
    if (worker.accelerators.length !== rack.acceleratorsPerWorker) {
        return "wrong-position";
    }
    if (rack.availabilityZone !== report.availabilityZone) {
        return "wrong-availability-zone";
    }
    const isTaken = atPosition && atPosition.report.name !== report.name && isReporting(atPosition, now);
    return isTaken ? "wrong-position" : undefined;
}

/** A refused connection proves that the agent no longer listens, so a restarted agent can take its name at once. */
function isReporting(member: Member, now: number): boolean {
    return member.report.state !== "left" && !member.refused && now - member.heardAt <= SUSPECT_AFTER_MS;
}
