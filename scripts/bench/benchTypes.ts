/** One measure with its baseline, both taken in the same run with the same seed. */
export interface Measure {
    name: string;
    unit: string;
    value: number;
    baseline: number;
}

/** Runs one bench. */
export type Bench = () => Promise<Measure[]>;
