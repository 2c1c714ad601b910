import type { Binding, Configuration, Rack, Weights } from "../document/documentTypes.ts";

/** A rack with the positions of its neighbours in the availability zone and the binding of each accelerator. */
export interface IndexedRack {
    name: string;
    next: number | undefined;
    previous: number | undefined;
    accelerators: number;
    /** Position in `bindings` by slot and accelerator index; undefined for unbound accelerators. */
    bound: (number | undefined)[][];
}

/** Lookup tables for placement. The caller builds them once per revision of the configuration. */
export interface PlacementIndex {
    racks: IndexedRack[];
    rackPositions: Map<string, number>;
    bindings: Binding[];
    /** Quota of accelerators by client account. */
    quotas: Map<string, number>;
    weights: Weights;
}

/** Builds the lookup tables of a configuration. */
export function indexPlacement(configuration: Pick<Configuration, "document" | "bindings">): PlacementIndex {
    const { document, bindings } = configuration;
    const racks = indexRacks(document.racks);
    const rackPositions = new Map(racks.map(({ name }, position) => [name, position]));
    for (const [position, { accelerators }] of bindings.entries()) {
        for (const { rack, slot, index } of accelerators) {
            const indexes = racks[rackPositions.get(rack) ?? -1]?.bound[slot];
            if (indexes) {
                indexes[index] = position;
            }
        }
    }
    const quotas = new Map(document.clientAccounts.map(({ name, quota }) => [name, quota.accelerators]));
    return { racks, rackPositions, bindings, quotas, weights: document.weights };
}

function indexRacks(racks: Rack[]): IndexedRack[] {
    const indexed: IndexedRack[] = [];
    const lastOfZone = new Map<string, number>();
    for (const [position, { name, availabilityZone, workers, acceleratorsPerWorker }] of racks.entries()) {
        const previous = lastOfZone.get(availabilityZone);
        const bound = Array.from({ length: workers }, () =>
            Array.from({ length: acceleratorsPerWorker }, (): number | undefined => undefined),
        );
        indexed.push({
            name,
            next: undefined,
            previous,
            accelerators: workers * acceleratorsPerWorker,
            bound,
        });
        if (previous !== undefined) {
            indexed[previous]!.next = position;
        }
        lastOfZone.set(availabilityZone, position);
    }
    return indexed;
}
