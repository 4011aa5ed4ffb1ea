import { expect, test } from '@jest/globals';
import { ManualClock } from '@turmerichoist/core';
import { TakeoverTimes } from '../src/jobs/takeover-times.js';

// Each test is named after the failure that it guards against.

test('the log does not say when a recovery ended, says it early or twice', () => {
  const clock = new ManualClock(1_000);
  const times = new TakeoverTimes(clock);
  clock.advance(40);
  expect(times.onRecovery(undefined)).toBeUndefined();
  clock.advance(45);
  const summary = { reported: 2, partlyListed: 1 };
  expect(times.onRecovery(summary)).toEqual({ recoveryMs: 85, ...summary });
  clock.advance(100);
  expect(times.onRecovery(summary)).toBeUndefined();
});
