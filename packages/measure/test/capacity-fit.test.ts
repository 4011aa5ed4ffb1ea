import { describe, expect, test } from '@jest/globals';
import { fitLine } from '../src/capacity/fit.js';

describe('fitLine', () => {
  test('a line without its intercept would misstate the cost at small sizes', () => {
    const points = [1, 2, 5].map((size) => ({ size, value: 3 + 2 * size }));
    const { intercept, slope, r2 } = fitLine(points);
    expect(intercept).toBeCloseTo(3);
    expect(slope).toBeCloseTo(2);
    expect(r2).toBeCloseTo(1);
  });

  test('scattered points must not be reported as a good fit', () => {
    const points = [1, 2, 3, 4].map((size) => ({ size, value: size % 2 }));
    expect(fitLine(points).r2).toBeLessThan(0.5);
  });
});
