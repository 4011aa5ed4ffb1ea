import { describe, expect, test } from '@jest/globals';
import { ManualClock, Ok, fail, type Millis } from '@turmerichoist/core';
import { createLogger } from '@turmerichoist/runtime';
import { watchTable } from '../src/io/table-watch.js';
import type { ChangeFeed } from '../src/store/index.js';

const WAIT_MS = 10_000;
const silent = createLogger({ level: 'error', format: 'json', write: () => undefined });

/** Waits asked of a feed whose calls have the given outcomes; the watch ends after the last one. */
async function waitsOf(
  outcomes: readonly ('changes' | 'unavailable' | 'gone')[],
): Promise<readonly Millis[]> {
  const ending = new AbortController();
  const waits: Millis[] = [];
  const feed: ChangeFeed = {
    snapshot: () => Promise.resolve(Ok({ rows: [], position: 1 })),
    changes: (_table, position, waitMs) => {
      const outcome = outcomes[waits.length];
      waits.push(waitMs);
      if (waits.length === outcomes.length) {
        ending.abort();
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
    signal: ending.signal,
  });
  return waits;
}

describe('a table that could not be read', () => {
  test('holds up the reads of other tables, because the first call waits for a change', async () => {
    const waits = await waitsOf(['changes', 'unavailable', 'changes', 'changes']);
    expect(waits).toEqual([WAIT_MS, WAIT_MS, 0, WAIT_MS]);
  });

  test('is asked to wait again after its history was dropped', async () => {
    const waits = await waitsOf(['unavailable', 'unavailable', 'gone', 'changes']);
    expect(waits).toEqual([WAIT_MS, 0, 0, WAIT_MS]);
  });
});
