/** One measured value at one size. */
export interface DataPoint {
  readonly size: number;
  readonly value: number;
}

/** Least-squares line through points. `r2` is 1 when all points are on the line. */
export interface LinearFit {
  readonly intercept: number;
  readonly slope: number;
  readonly r2: number;
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}

export function fitLine(points: readonly DataPoint[]): LinearFit {
  const size = mean(points.map((point) => point.size));
  const value = mean(points.map((point) => point.value));
  const sxx = mean(points.map((point) => (point.size - size) ** 2));
  const syy = mean(points.map((point) => (point.value - value) ** 2));
  const sxy = mean(points.map((point) => (point.size - size) * (point.value - value)));
  const slope = sxx === 0 ? 0 : sxy / sxx;
  const r2 = sxx === 0 || syy === 0 ? 1 : (sxy * sxy) / (sxx * syy);
  return { intercept: value - slope * size, slope, r2 };
}
