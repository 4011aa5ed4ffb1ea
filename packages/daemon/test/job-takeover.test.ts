import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import { CELL_OWNER_KEY, type JsonValue } from '@turmerichoist/coordination';
import type { Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import { INTAKE_PART_NAMES, intakePartOf } from '../src/jobs/intake.js';
import { FakeExecutor, type ReceivedPoll } from './support/fake-executor.js';
import {
  configure,
  JOB_CONFIG,
  JOB_POLICY,
  JOB_SPEC,
  startMember,
  startUnconfigured,
} from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

const JOBS_READ_MS: Millis = 5_000;
const CANCELS_READ_MS: Millis = 1_500;
const MARGIN_MS: Millis = 200;
const WAIT_MS: Millis = 12_000;
const CHECK_MS: Millis = 10;

const EXECUTOR = {
  id: 'e1',
  startedWallMs: 1,
  address: 'e1',
  pool: 'p1',
  zone: 'z1',
  rack: 'r1',
  labels: [],
  capacity: { processors: 8, memoryMb: 8_000, accelerators: 0 },
  draining: false,
};

let controller: AbortController;
let tables: PartedTables;
let executor: FakeExecutor;

beforeEach(() => {
  controller = new AbortController();
  tables = new PartedTables();
  executor = new FakeExecutor(EXECUTOR);
});

afterEach(() => {
  controller.abort();
});

async function store(part: string, key: string, value: unknown): Promise<void> {
  const writes = [{ key, value: value as JsonValue }];
  await tables.open(part).commit({ txnId: key, conditions: [], writes }, controller.signal);
}

/** Stores a job as a member does that has accepted it. */
async function storeJob(id: string): Promise<void> {
  const acceptedWallMs = Date.now();
  const job = { id, queue: 'q1', team: '', acceptedWallMs, policy: JOB_POLICY, spec: JOB_SPEC };
  await store(INTAKE_PART_NAMES[intakePartOf(id)] ?? '', `jobs/${id}`, job);
}

async function eventually(check: () => boolean): Promise<void> {
  for (let waited = 0; waited < WAIT_MS && !check(); waited += CHECK_MS) {
    await sleep(CHECK_MS, controller.signal);
  }
  expect(check()).toBe(true);
}

/** Lets a first leader start the tasks of two jobs and end one of them, and then kills it. */
async function killLeaderWithRuns(): Promise<void> {
  const leader = new AbortController();
  await store('', 'servers/e1', EXECUTOR);
  await storeJob('a1');
  await storeJob('a2');
  startMember('a', tables, leader.signal, executor);
  await eventually(() => executor.starts.length === 2);
  leader.abort();
  executor.finish('a2.0.0.0');
}

/** Number of claims of the cell. A renewal changes another row, and no test releases the cell. */
function claims(): number {
  const keys = tables.commits.flatMap(({ txn }) => txn.writes.map(({ key }) => key));
  return keys.filter((key) => key === CELL_OWNER_KEY).length;
}

function pollsOfLatestLeader(): readonly ReceivedPoll[] {
  const token = Math.max(...executor.polls.map(({ fencingToken }) => fencingToken));
  return executor.polls.filter(({ fencingToken }) => fencingToken === token);
}

test('tasks start again whose ends their executor lists after others are acknowledged', async () => {
  const ids = ['a1', 'a2', 'a3', 'a4', 'a5'];
  const leader = new AbortController();
  executor.maxListedEnds = 2;
  await store('', 'servers/e1', EXECUTOR);
  await Promise.all(ids.map((id) => storeJob(id)));
  startMember('a', tables, leader.signal, executor);
  await eventually(() => executor.starts.length === ids.length);
  leader.abort();
  ids.forEach((id) => {
    executor.finish(`${id}.0.0.0`);
  });
  startMember('b', tables, controller.signal, executor);
  const last = (): boolean =>
    pollsOfLatestLeader().some((poll) => poll.acknowledgedThrough === ids.length);
  await eventually(last);
  expect(executor.starts).toHaveLength(ids.length);
}, 30_000);

describe('a leader that takes 5 s to read the jobs', () => {
  test('leases of running tasks lapse, or the tasks are stopped as those of unknown jobs', async () => {
    await killLeaderWithRuns();
    tables.snapshotDelaysMs.set('jobs', JOBS_READ_MS);
    startMember('b', tables, controller.signal, executor);
    await eventually(() => claims() === 2);
    const electedAt = Date.now();
    // The end that the executor lists is acknowledged only after the jobs have been read.
    await eventually(() => executor.polls.some((poll) => poll.acknowledgedThrough > 0));
    const polls = pollsOfLatestLeader();
    const early = polls.filter(({ at }) => at - electedAt < JOBS_READ_MS - MARGIN_MS);
    const acknowledged = polls.filter(({ acknowledgedThrough }) => acknowledgedThrough > 0);
    expect(early.filter(({ leaseMs }) => leaseMs !== undefined).length).toBeGreaterThan(1);
    expect((acknowledged[0]?.at ?? 0) - electedAt).toBeGreaterThan(JOBS_READ_MS - MARGIN_MS);
    expect(executor.lapses).toEqual([]);
    expect(executor.stops).toEqual([]);
    expect(executor.starts).toHaveLength(2);
  }, 30_000);
});

describe('a leader that takes 1.5 s to read the cancellations', () => {
  test('tasks of jobs that were cancelled under an earlier leader start', async () => {
    await store('', 'servers/e1', EXECUTOR);
    await storeJob('a1');
    await storeJob('a2');
    await store(INTAKE_PART_NAMES[intakePartOf('a2')] ?? '', 'cancels/a2', { wallMs: Date.now() });
    tables.snapshotDelaysMs.set('cancels', CANCELS_READ_MS);
    startMember('a', tables, controller.signal, executor);
    await eventually(() => tables.rowsOf('progress').some(({ key }) => key === 'progress/a2'));
    await eventually(() => executor.starts.includes('a1.0.0.0'));
    expect(executor.starts).toEqual(['a1.0.0.0']);
  }, 30_000);
});

// Its teams had no caps and its pools no policies until it read the configuration.
test('a leader starts tasks before it has read a configuration', async () => {
  await store('', 'servers/e1', EXECUTOR);
  await storeJob('a1');
  const cell = startUnconfigured('a', tables, controller.signal, executor);
  await eventually(() => claims() === 1 && executor.polls.length > 1);
  await sleep(500, controller.signal);
  expect(executor.starts).toEqual([]);
  configure(cell, JOB_CONFIG);
  await eventually(() => executor.starts.length === 1);
}, 30_000);

describe('a leader that takes 2 s to read each table', () => {
  test('reads the jobs only when it has read their progress', async () => {
    await killLeaderWithRuns();
    const slow = ['jobs', 'progress', 'waves'];
    slow.forEach((table) => tables.snapshotDelaysMs.set(table, 2_000));
    const before = tables.snapshots.length;
    startMember('b', tables, controller.signal, executor);
    await eventually(() => claims() === 2);
    await eventually(() => executor.polls.some((poll) => poll.acknowledgedThrough > 0));
    const reads = tables.snapshots.slice(before).filter(({ table }) => slow.includes(table));
    const firstEnd = reads.findIndex(({ type }) => type === 'end');
    const begunTogether = reads.slice(0, firstEnd).map(({ table }) => table);
    expect(new Set(begunTogether)).toEqual(new Set(slow));
    expect(reads).toHaveLength(2 * slow.length);
    expect(executor.stops).toEqual([]);
    expect(executor.starts).toHaveLength(2);
  }, 30_000);
});
