import { describe, expect, test } from '@jest/globals';
import { ManualClock, Ok, fail, type Millis } from '@turmerichoist/core';
import { createLogger } from '@turmerichoist/runtime';
import { watchTable } from '../src/io/table-watch.js';
import type { ChangeFeed } from '../src/store/index.js';

const WAIT_MS = 10_000;
const silent = createLogger({ level: 'error', format: 'json', write: () => undefined });

/** Returns the wait of each call to a feed with the given outcomes; stops after the last one. */
async function requestedWaits(
  outcomes: readonly ('changes' | 'unavailable' | 'gone')[],
): Promise<readonly Millis[]> {
  const stopping = new AbortController();
  const waits: Millis[] = [];
  const feed: ChangeFeed = {
    snapshot: () => Promise.resolve(Ok({ rows: [], position: 1 })),
    changes: (_table, position, waitMs) => {
      const outcome = outcomes[waits.length];
      waits.push(waitMs);
      if (waits.length === outcomes.length) {
        stopping.abort();
      }
      if (outcome === 'unavailable') {
        return Promise.resolve(fail('store-unavailable'));
      }
      return Promise.resolve(
        outcome === 'gone' ? fail('revision-gone') : Ok({ rows: [], position: position + 1 }),
      );
    },
  };
  await watchTable({
    feed,
    table: 'jobs',
    clock: new ManualClock(),
    log: silent,
    waitMs: WAIT_MS,
    pauseMs: 0,
    onChanges: () => undefined,
    signal: stopping.signal,
  });
  return waits;
}

describe('the wait of calls to a table that could not be read', () => {
  test('is zero for the first call, which would otherwise block reads of other tables', async () => {
    const waits = await requestedWaits(['changes', 'unavailable', 'changes', 'changes']);
    expect(waits).toEqual([WAIT_MS, WAIT_MS, 0, WAIT_MS]);
  });

  test('is restored after the changes were no longer retained', async () => {
    const waits = await requestedWaits(['unavailable', 'unavailable', 'gone', 'changes']);
    expect(waits).toEqual([WAIT_MS, 0, 0, WAIT_MS]);
  });
});
