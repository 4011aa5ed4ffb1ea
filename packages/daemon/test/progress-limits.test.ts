import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { MemoryTableStore } from '@turmerichoist/coordination';
import type { JobProgress } from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger } from '@turmerichoist/runtime';
import { ProgressWriter } from '../src/jobs/progress-writer.js';

// Each test is named after the failure that it guards against.

const DONE: JobProgress = {
  state: 'completed',
  endedWallMs: 9,
  done: { '0.0': 'all' },
  failures: {},
};

let controller: AbortController;
let store: MemoryTableStore;
let ids = 0;
let acknowledged: number[];

beforeEach(() => {
  controller = new AbortController();
  store = new MemoryTableStore();
  acknowledged = [];
});

afterEach(() => {
  controller.abort();
});

function newId(): string {
  ids += 1;
  return `txn-${ids}`;
}

async function eventually(check: () => boolean): Promise<void> {
  for (let tries = 0; tries < 2_000 && !check(); tries += 1) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  expect(check()).toBe(true);
}

async function createWriter(): Promise<ProgressWriter> {
  const writes = [{ key: 'cell/owner', value: { n: 1 } }];
  const txn = { txnId: newId(), conditions: [], writes };
  const done = (await store.commit(txn, controller.signal)).unwrap();
  return new ProgressWriter(
    {
      store,
      ownerKey: 'cell/owner',
      epoch: done.committed ? (done.versions['cell/owner'] ?? 0) : 0,
      clock: new SystemClock(),
      newId,
      metrics: new NoMetrics(),
      onAcknowledged: ({ through }) => {
        acknowledged.push(through);
      },
      onSuperseded: () => undefined,
    },
    { log: silentLogger, signal: controller.signal },
  );
}

function rowCount(): number {
  return store.state.range('progress/', '', Infinity).length;
}

// Load pattern: a new leader handles the reports that it has held back, with 500 ends each, in one
// turn. The progress of these jobs does not change again.
test('the progress of jobs that end in one turn is lost, and their ends are acknowledged', async () => {
  const jobs = 11_000;
  const writer = await createWriter();
  for (let job = 0; job < jobs; job += 1) {
    writer.post({ type: 'persist', job: `j${job}`, progress: DONE });
  }
  await writer.idle();
  const acknowledgement = { executor: 'e1', startedWallMs: 1, through: 500 };
  writer.post({ type: 'acknowledge', acknowledgement });
  await eventually(() => acknowledged.length === 1);
  expect(rowCount()).toBe(jobs);
});
