import type { Configuration, Rack, WorkerPosition } from "../document/documentTypes.ts";
import type { AgentView } from "../routing/agentChoice.ts";
import { GONE_AFTER_MS } from "./memberState.ts";

/**
 * Finds the workers that hold bound accelerators and are gone, so that their bindings must move to other workers.
 * A worker that never reported to this entry counts as gone once the entry has been up for 60 s. If at most half of
 * a zone's declared workers are present, a network partition is assumed and none of its workers is returned.
 */
export function missingWorkers(
    configuration: Configuration,
    agents: AgentView[],
    uptimeMs: number,
): WorkerPosition[] {
    if (uptimeMs <= GONE_AFTER_MS) {
        return [];
    }
    const present = new Set<string>();
    for (const { report, state } of agents) {
        if (report.worker && state !== "gone") {
            present.add(positionKey(report.worker));
        }
    }
    const racks = new Map(configuration.document.racks.map(rack => [rack.name, rack]));
    const connected = connectedZones(configuration.document.racks, present);
    const missing = new Map<string, WorkerPosition>();
    for (const { accelerators } of configuration.bindings) {
        for (const { rack, slot } of accelerators) {
            const key = positionKey({ rack, slot });
            const zone = racks.get(rack)?.availabilityZone;
            if (!present.has(key) && zone !== undefined && connected.has(zone)) {
                missing.set(key, { rack, slot });
            }
        }
    }
    return [...missing.values()];
}

/** The availability zones of which more than half of the declared workers are present. */
function connectedZones(racks: Rack[], present: Set<string>): Set<string> {
    const declared = new Map<string, number>();
    const seen = new Map<string, number>();
    for (const { name, availabilityZone: zone, workers } of racks) {
        declared.set(zone, (declared.get(zone) ?? 0) + workers);
        for (let slot = 0; slot < workers; slot++) {
            if (present.has(positionKey({ rack: name, slot }))) {
                seen.set(zone, (seen.get(zone) ?? 0) + 1);
            }
        }
    }
    return new Set(
        [...declared.keys()].filter(zone => (seen.get(zone) ?? 0) * 2 > (declared.get(zone) ?? 0)),
    );
}

function positionKey({ rack, slot }: WorkerPosition): string {
    return `${rack}/${slot}`;
}
