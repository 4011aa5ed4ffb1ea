import { expect, test } from '@jest/globals';
import { StoreCallStats } from '../src/io/store/call-stats.js';

// The test is named after the failure that it guards against.

test('a refusal by the service can not be told from a call that this process held back', () => {
  const stats = new StoreCallStats();
  stats.onCall({ kind: 'write', outcome: 'answered', ms: 10 });
  stats.onCall({ kind: 'write', outcome: 'answered', ms: 30 });
  stats.onCall({ kind: 'write', outcome: 'rate-limited', ms: 5 });
  stats.onCall({ kind: 'write', outcome: 'held-back', ms: 0 });
  stats.onCall({ kind: 'read', outcome: 'unanswered', ms: 1_200 });
  const { read, write } = stats.take();
  expect(write).toEqual({
    ms: { count: 2, mean: 20, max: 30 },
    rateLimited: 1,
    unavailable: 0,
    heldBack: 1,
    unanswered: 0,
  });
  expect(read.unanswered).toBe(1);
  expect(stats.take().write.ms.count).toBe(0);
});

test('long polls hide the time of short reads, or are not counted at all', () => {
  const stats = new StoreCallStats();
  stats.onCall({ kind: 'feed', outcome: 'answered', ms: 400 });
  stats.onCall({ kind: 'read', outcome: 'answered', ms: 5 });
  const { read, feed } = stats.take();
  expect(read.ms).toEqual({ count: 1, mean: 5, max: 5 });
  expect(feed.ms).toEqual({ count: 1, mean: 400, max: 400 });
});
