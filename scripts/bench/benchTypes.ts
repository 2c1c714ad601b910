/** A measured value with its baseline: a stated target, or a value measured in the same run with the same seed. */
export interface Measure {
    name: string;
    unit: string;
    value: number;
    baseline: number;
}

/** Runs one bench and returns its measures. */
export type Bench = () => Promise<Measure[]>;
