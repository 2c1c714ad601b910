/** One measured point: the size and the measured value. */
export type Point = [number, number];

/** A line fitted to points; `residual` is the root mean square deviation, in the unit of the measured value. */
export interface Line {
    intercept: number;
    slope: number;
    residual: number;
}

/** Fits a line by least squares. Needs points of at least two sizes. */
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
