/** One measured point: the size and the measure. */
export type Point = [number, number];

/** A straight line through points; `residual` is the root of the mean square deviation, in units of y. */
export interface Line {
    intercept: number;
    slope: number;
    residual: number;
}

/** The line with the least squares. Needs two different sizes. */
export function fitLine(points: Point[]): Line {
    const count = points.length;
    const meanX = sum(points.map(([x]) => x)) / count;
    const meanY = sum(points.map(([, y]) => y)) / count;
    const covariance = sum(points.map(([x, y]) => (x - meanX) * (y - meanY)));
    const variance = sum(points.map(([x]) => (x - meanX) ** 2));
    const slope = covariance / variance;
    const intercept = meanY - slope * meanX;
    const squares = points.map(([x, y]) => (y - intercept - slope * x) ** 2);
    return { intercept, slope, residual: Math.sqrt(sum(squares) / count) };
}

function sum(values: number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
