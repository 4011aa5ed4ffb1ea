import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { MemoryTableStore, type TableStore, type Transaction } from '@turmerichoist/coordination';
import { fail, type JobProgress } from '@turmerichoist/core';
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

async function createWriter(progressStore: TableStore = store): Promise<ProgressWriter> {
  const writes = [{ key: 'cell/owner', value: { n: 1 } }];
  const txn = { txnId: newId(), conditions: [], writes };
  const done = (await store.commit(txn, controller.signal)).unwrap();
  return new ProgressWriter(
    {
      store: progressStore,
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

/** A store with the limits of the platform's: 64 KB a row, and 1 MB a transaction as it is sent. */
function limitedStore(): TableStore {
  const sizeOf = ({ value }: Transaction['writes'][number]): number => JSON.stringify(value).length;
  return {
    commit: (txn, signal) => {
      const sizes = txn.writes.map(sizeOf);
      const sent = sizes.reduce((sum, size) => sum + (size * 4) / 3, 0);
      return Math.max(...sizes) > 65_536 || sent > 1_000_000
        ? Promise.resolve(fail('store-rejected', 'status 400'))
        : store.commit(txn, signal);
    },
    read: (keys, signal) => store.read(keys, signal),
    range: (prefix, after, limit, signal) => store.range(prefix, after, limit, signal),
  };
}

/** Progress of a step of which this many tasks have ended, of one task more. */
function progressOf(doneTasks: number): JobProgress {
  const done = { '0.0': Array.from({ length: doneTasks }, (_, index) => index) };
  return { state: 'running', endedWallMs: 0, done, failures: {} };
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

test('nothing is stored any more once the progress of many wide jobs exceeds a transaction', async () => {
  const writer = await createWriter(limitedStore());
  for (let job = 0; job < 80; job += 1) {
    writer.post({ type: 'persist', job: `j${job}`, progress: progressOf(5_000) });
  }
  writer.post({ type: 'persist', job: 'ended', progress: DONE });
  const acknowledgement = { executor: 'e1', startedWallMs: 1, through: 5 };
  writer.post({ type: 'acknowledge', acknowledgement });
  await eventually(() => acknowledged.length === 1);
  expect(rowCount()).toBe(81);
});

test('nothing is stored any more once the progress of one job exceeds a row', async () => {
  const writer = await createWriter(limitedStore());
  writer.post({ type: 'persist', job: 'wide', progress: progressOf(20_000) });
  writer.post({ type: 'persist', job: 'other', progress: progressOf(1) });
  await eventually(() => rowCount() === 1);
  writer.post({ type: 'persist', job: 'wide', progress: DONE });
  await eventually(() => rowCount() === 2);
});
