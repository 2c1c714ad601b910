import { Either, Left, Right } from "purify-ts/Either";
import type { Accelerator, Binding, Configuration } from "@tanagerdeck/decisions/document/documentTypes";
import { failure, type Failure } from "@tanagerdeck/decisions/verdict/verdictTypes";

/** Maximum size of a value in the platform's service. */
export const VALUE_LIMIT_BYTES = 1_000_000;

/** The accelerators of a binding on one worker: rack, slot, accelerator indexes. */
type EncodedWorker = [string, number, number[]];

interface EncodedBinding extends Omit<Binding, "accelerators"> {
    workers: EncodedWorker[];
}

interface EncodedConfiguration extends Omit<Configuration, "bindings"> {
    bindings: EncodedBinding[];
}

/** Encodes a configuration. Accelerators are grouped by worker: one by one they exceed the limit at full scale. */
export function encodeConfiguration(configuration: Configuration): string {
    const bindings = configuration.bindings.map(encodeBinding);
    return JSON.stringify({ ...configuration, bindings } satisfies EncodedConfiguration);
}

/** Decodes a stored configuration. */
export function decodeConfiguration(text: string): Either<Failure, Configuration> {
    try {
        const stored = JSON.parse(text) as EncodedConfiguration;
        return Right({ ...stored, bindings: stored.bindings.map(decodeBinding) });
    } catch (error) {
        const detail = `The stored configuration cannot be read: ${String(error)}.`;
        return Left(failure("not-run", "no-configuration", detail));
    }
}

function encodeBinding({ accelerators, ...rest }: Binding): EncodedBinding {
    const workers = new Map<string, EncodedWorker>();
    for (const { rack, slot, index } of accelerators) {
        const key = `${rack}/${slot}`;
        const worker = workers.get(key) ?? [rack, slot, []];
        worker[2].push(index);
        workers.set(key, worker);
    }
    return { ...rest, workers: [...workers.values()] };
}

function decodeBinding({ workers, ...rest }: EncodedBinding): Binding {
    const accelerators: Accelerator[] = [];
    for (const [rack, slot, indexes] of workers) {
        for (const index of indexes) {
            accelerators.push({ rack, slot, index });
        }
    }
    return { ...rest, accelerators };
}
