import type { AgentState, Report } from "./reportTypes.ts";

/** An agent without a report for this time gets no new work. */
export const SUSPECT_AFTER_MS = 6_000;
/** An agent without a report for this time is forgotten by placement. */
export const GONE_AFTER_MS = 60_000;
/** Agents that fell silent within this time of each other fell silent at once: three report intervals. */
const PARTITION_WINDOW_MS = 6_000;
/** In a smaller availability zone one crash is already more than half of the agents. */
const MIN_PARTITION_ZONE_SIZE = 3;

/** What an entry knows of one agent. `heardAt` is on the entry's monotonic clock. */
export interface Member {
    report: Report;
    heardAt: number;
    state: AgentState;
    /** A connection was refused since the last report. */
    refused: boolean;
}

/** The states of all agents at `now`, by name; only states that differ from the present ones are listed. */
export function stateChanges(members: Iterable<Member>, now: number): Map<string, AgentState> {
    const zones = new Map<string, Member[]>();
    for (const member of members) {
        const zone = member.report.availabilityZone;
        const zoneMembers = zones.get(zone);
        if (zoneMembers) {
            zoneMembers.push(member);
        } else {
            zones.set(zone, [member]);
        }
    }
    const changes = new Map<string, AgentState>();
    for (const zoneMembers of zones.values()) {
        const partitioned = partitionedMembers(zoneMembers, now);
        for (const member of zoneMembers) {
            const state = partitioned.has(member) ? "unreachable" : stateByAge(member, now);
            if (state !== member.state) {
                changes.set(member.report.name, state);
            }
        }
    }
    return changes;
}

/** The state of one agent without regard to its availability zone. */
export function stateByAge(member: Member, now: number): AgentState {
    const { report, heardAt, refused } = member;
    const age = now - heardAt;
    if (age > GONE_AFTER_MS) {
        return "gone";
    }
    if (report.state === "left") {
        return "left";
    }
    return refused || age > SUSPECT_AFTER_MS ? "suspect" : report.state;
}

/**
 * The agents of a zone that fell silent together, if they are more than half of it. That is taken for a network
 * partition: crashes of so many VMs at once are rarer, and rescheduling their work would run it twice.
 */
function partitionedMembers(members: Member[], now: number): Set<Member> {
    const live = members.filter(member => member.state !== "gone" && member.report.state !== "left");
    const silent = live.filter(member => now - member.heardAt > SUSPECT_AFTER_MS);
    if (live.length < MIN_PARTITION_ZONE_SIZE || silent.length * 2 <= live.length) {
        return new Set();
    }
    silent.sort((a, b) => a.heardAt - b.heardAt);
    let largestGroup: Member[] = [];
    let start = 0;
    for (let end = 0; end < silent.length; end++) {
        while (silent[end]!.heardAt - silent[start]!.heardAt > PARTITION_WINDOW_MS) {
            start++;
        }
        if (end - start + 1 > largestGroup.length) {
            largestGroup = silent.slice(start, end + 1);
        }
    }
    return new Set(largestGroup.length * 2 > live.length ? largestGroup : []);
}
