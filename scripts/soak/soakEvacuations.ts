import type { EmulatedDeployment } from "@tanagerdeck/standins/emulator/emulatorTypes";
import type { SoakRandom } from "./soakRandom.ts";

/** Dependencies of the evacuations of a run. */
export interface EvacuationOptions {
    deployment: Pick<EmulatedDeployment, "zones" | "agents" | "evacuate" | "restore">;
    /** Used only here, so that the faults of a seed do not depend on the evacuations. */
    random: SoakRandom;
    isEnding: () => boolean;
    /** Called with a description of each evacuation when it is requested. */
    note: (line: string) => void;
}

/** Range of the time between two requests; evacuations overlap. */
const REQUEST_INTERVAL_MS = [300, 5_000] as const;
/** Range of the duration of an evacuation; the bound begins after 5,000 ms, within two of three. */
const DURATION_MS = [2_000, 11_000] as const;
/** Range of the duration if no other zone is left; short, so that the jobs of a run can end. */
const LAST_ZONE_DURATION_MS = [300, 2_500] as const;
const ALL_ZONES_PROBABILITY = 0.15;
const COLD_PROBABILITY = 0.5;
/** Longest time for which the workers of a restored zone report that they are cold. */
const MAX_COLD_MS = 4_000;
const POLL_INTERVAL_MS = 50;

/**
 * Evacuates availability zones at random and restores them, until the run is ending; at the return none is evacuated.
 * Evacuations overlap, a zone may be requested twice, and all zones may be evacuated at once for a short time.
 */
export async function runEvacuations({
    deployment,
    random,
    isEnding,
    note,
}: EvacuationOptions): Promise<void> {
    const startedAt = performance.now();
    /** Time at which each evacuated zone is restored; a zone that is requested again stays until the later end. */
    const endsAt = new Map<string, number>();
    const pendingRestores: Promise<void>[] = [];

    async function evacuate(zones: readonly string[], range: readonly [number, number]): Promise<void> {
        const durationMs = random.between(...range);
        const coldMs = random.chance(COLD_PROBABILITY) ? random.between(500, MAX_COLD_MS) : 0;
        const elapsedSeconds = ((performance.now() - startedAt) / 1_000).toFixed(2);
        note(`${elapsedSeconds} evacuate ${zones.join(" ")} for ${durationMs} ms, cold for ${coldMs} ms`);
        for (const zone of zones) {
            endsAt.set(zone, Math.max(endsAt.get(zone) ?? 0, performance.now() + durationMs));
            deployment.evacuate(zone);
        }
        await pauseUntilEnding(durationMs);
        const restored = zones.filter(zone => isEnding() || performance.now() >= (endsAt.get(zone) ?? 0));
        for (const zone of restored) {
            endsAt.delete(zone);
            deployment.restore(zone);
        }
        for (const { availabilityZone, server } of deployment.agents) {
            if (coldMs > 0 && restored.includes(availabilityZone)) {
                server.cool(coldMs);
            }
        }
    }

    async function pauseUntilEnding(durationMs: number): Promise<void> {
        const end = performance.now() + durationMs;
        while (!isEnding() && performance.now() < end) {
            await new Promise(resolve => setTimeout(resolve, Math.min(POLL_INTERVAL_MS, durationMs)));
        }
    }

    while (!isEnding()) {
        await pauseUntilEnding(random.between(...REQUEST_INTERVAL_MS));
        if (isEnding()) {
            break;
        }
        if (random.chance(ALL_ZONES_PROBABILITY)) {
            pendingRestores.push(evacuate(deployment.zones, LAST_ZONE_DURATION_MS));
            continue;
        }
        const zone = random.pick(deployment.zones);
        const isLast = deployment.zones.every(other => other === zone || endsAt.has(other));
        pendingRestores.push(evacuate([zone], isLast ? LAST_ZONE_DURATION_MS : DURATION_MS));
    }
    await Promise.all(pendingRestores);
}
