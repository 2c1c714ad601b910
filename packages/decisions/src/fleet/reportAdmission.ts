import type { Rack } from "../document/documentTypes.ts";
import { SUSPECT_AFTER_MS, type Member } from "./memberState.ts";
import type { Report, ReportReply } from "./reportTypes.ts";

/** What an entry does with a report. An `outdated` one arrived after a later one and changes nothing. */
export type ReportAdmission =
    | { kind: "accepted" }
    | { kind: "outdated" }
    | { kind: "refused"; refusal: NonNullable<ReportReply["refusal"]> };

/** What the admission of a report depends on. */
export interface AdmissionContext {
    now: number;
    /** The agent of this name, if one is known. */
    known: Member | undefined;
    /** The agent at this worker's rack and slot, if one is known. */
    atPosition: Member | undefined;
    /** The declared rack that the worker names. */
    rack: Rack | undefined;
    /** False until a configuration is known; positions are not checked then. */
    racksKnown: boolean;
}

/** Decides whether a report enters the fleet view. */
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

/** A refused connection proves that the agent does not listen any more, so that a restart need not wait. */
function isReporting(member: Member, now: number): boolean {
    return member.report.state !== "left" && !member.refused && now - member.heardAt <= SUSPECT_AFTER_MS;
}
