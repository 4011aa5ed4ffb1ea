import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { Ok, fail } from '@turmerichoist/core';
import type { ChangeFeed } from '@turmerichoist/coordination';
import { silentLogger } from '@turmerichoist/runtime';
import { StoredProgress } from '../src/jobs/stored-progress.js';

// Each test is named after the failure that it guards against.

/** Well above the reads of a loader that pauses after each, and few enough for one turn. */
const REFUSALS = 1_000;

let controller: AbortController;
let reads: string[];

beforeEach(() => {
  controller = new AbortController();
  reads = [];
});

afterEach(() => {
  controller.abort();
});

/** Refuses snapshots at once, as the store client does while it backs off. */
const refusing: ChangeFeed = {
  snapshot: (table) => {
    reads.push(table);
    return Promise.resolve(
      reads.length > REFUSALS
        ? Ok({ rows: [], position: 0 })
        : fail('store-unavailable', 'backing off'),
    );
  },
  changes: () => Promise.resolve(fail('store-unavailable')),
};

// Seen with the store client: 59,519 reads in 4 s while a probe was under way, whose answer was never
// read.
test('a new leader reads again and again without handling input while its reads are refused', async () => {
  void new StoredProgress(silentLogger).load(refusing, controller.signal);
  await new Promise((resolve) => {
    setImmediate(resolve);
  });
  expect(reads).toEqual(['progress', 'waves']);
});
