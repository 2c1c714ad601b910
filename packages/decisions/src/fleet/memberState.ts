import type { AgentState, Report } from "./reportTypes.ts";

/** An agent whose last report is older than this is suspect and gets no new work. */
export const SUSPECT_AFTER_MS = 6_000;
/** An agent whose last report is older than this is gone, and placement ignores it. */
export const GONE_AFTER_MS = 60_000;
/** Agents whose last reports are at most this far apart stopped reporting together: three report intervals. */
const PARTITION_WINDOW_MS = 6_000;
/** Smallest zone in which a partition is assumed: with fewer agents a single crash can be more than half of them. */
const MIN_PARTITION_ZONE_SIZE = 3;

/** What an entry knows of one agent. `heardAt` is the time of its last report on the entry's monotonic clock. */
export interface Member {
    report: Report;
    heardAt: number;
    state: AgentState;
    /** True if the agent has refused a connection since its last report. */
    refused: boolean;
}

/** Computes the states of all agents at `now`; returns those that differ from the present states, by agent name. */
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

/** The state of one agent by the age of its report, without regard to the other agents of its zone. */
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
 * The agents of a zone that stopped reporting together, if they are more than half of the zone. They are assumed to
 * be cut off by a network partition: simultaneous crashes of so many VMs are rarer, and work that still runs behind
 * a partition would run twice if it were rescheduled.
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
