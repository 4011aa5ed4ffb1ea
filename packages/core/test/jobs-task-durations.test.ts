import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { TaskDurations } from '../src/index.js';

// Each test is named after the failure that it guards against.

/** Records tasks with these actual durations, declared as `declare(actual, index)`. */
function durationsFrom(
  actuals: readonly number[],
  declare: (actual: number, index: number) => number,
): TaskDurations {
  const durations = new TaskDurations();
  actuals.forEach((actual, index) => {
    durations.record('q', declare(actual, index), actual);
  });
  return durations;
}

const MIXED = Array.from({ length: 40 }, (_, index) => (index % 2 === 0 ? 400 : 1_600));

describe('the estimated duration of a task', () => {
  test('is the declared one although that is always twice too long', () => {
    const durations = durationsFrom(MIXED, (actual) => 2 * actual);
    expect(durations.expectedMs('q', 800)).toBeCloseTo(400);
    expect(durations.expectedMs('q', 3_200)).toBeCloseTo(1_600);
  });

  test('follows declared durations that do not correlate with actual ones', () => {
    const durations = durationsFrom(MIXED, (_, index) => (index % 4 < 2 ? 10 : 100_000));
    const [short, long] = [10, 100_000].map((declared) => durations.expectedMs('q', declared));
    expect((long ?? 0) / (short ?? 1)).toBeLessThan(2);
  });

  test('is estimated from too few samples', () => {
    const durations = durationsFrom([100, 100, 100], () => 1_000);
    expect(durations.expectedMs('q', 1_000)).toBe(1_000);
  });

  test('is not a positive number for some recorded durations', () => {
    const ms = fc.integer({ min: 0, max: 1e7 });
    fc.assert(
      fc.property(fc.array(fc.tuple(ms, ms), { maxLength: 30 }), ms, (tasks, declared) => {
        const durations = new TaskDurations();
        tasks.forEach(([stated, actual]) => {
          durations.record('q', stated, actual);
        });
        const expected = durations.expectedMs('q', declared + 1);
        expect(Number.isFinite(expected) && expected > 0).toBe(true);
      }),
      { numRuns: 1_000, seed: 20261204 },
    );
  });
});
