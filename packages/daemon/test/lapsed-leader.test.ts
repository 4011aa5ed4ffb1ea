import { afterEach, beforeEach, expect, test } from '@jest/globals';
import type { JsonValue, TableStore } from '@turmerichoist/coordination';
import { Ok, type ExecutorInfo, type Millis } from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger, sleep } from '@turmerichoist/runtime';
import { EMPTY_BULLETIN } from '../src/jobs/bulletin.js';
import { INTAKE_PART_NAMES, intakePartOf } from '../src/jobs/intake.js';
import { JobOwner } from '../src/jobs/job-owner.js';
import type { ExecutorClient } from '../src/jobs/ports.js';
import { JOB_CONFIG, JOB_POLICY, JOB_SPEC } from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

const LAPSE_MS: Millis = 2_300;
const RESUME_MS: Millis = 400;
const EXECUTOR: ExecutorInfo = {
  id: 'e1',
  startedWallMs: 1,
  address: '',
  pool: 'p1',
  zone: 'z1',
  rack: 'r1',
  labels: [],
  capacity: { processors: 8, memoryMb: 8_000, accelerators: 0 },
  draining: false,
};

let controller: AbortController;
let tables: PartedTables;
let leading: boolean;
/** Calls to the executor and to the platform's list of instances. */
let calls: string[];

beforeEach(() => {
  controller = new AbortController();
  tables = new PartedTables();
  leading = true;
  calls = [];
});

afterEach(() => {
  controller.abort();
});

const client: ExecutorClient = {
  process: 0,
  poll: async ({ waitMs }, { signal }) => {
    calls.push('poll');
    await sleep(Math.max(1, waitMs), signal);
    return { type: 'report', startedWallMs: 1, running: [], ended: [] };
  },
  start: ({ task }) => {
    calls.push(`start ${task.jobId}`);
    return Promise.resolve('started');
  },
  stop: ({ task }) => {
    calls.push(`stop ${task.jobId}`);
    return Promise.resolve(true);
  },
  pace: () => Promise.resolve(true),
};

function createOwner(): JobOwner {
  const ids = Array.from({ length: 1_000 }, (_, n) => `txn-${n}`).values();
  return new JobOwner(
    {
      member: 'a',
      term: { epoch: 1, generation: 0, succeedsSelf: false },
      mayAct: () => leading,
      cell: tables.open('c0'),
      intake: tables.feed(INTAKE_PART_NAMES),
      progress: tables.open('c0'),
      waves: tables.open('c0'),
      orders: tables.open('c0'),
      shared: tables.open(''),
      connector: { connect: () => client },
      fleet: {
        list: () => {
          calls.push('list');
          return Promise.resolve(Ok([]));
        },
        order: () => Promise.resolve('busy'),
      },
      rowCodec: {
        executorTable: 'servers',
        executor: ({ value }) => Ok(value as unknown as ExecutorInfo),
        waveStatus: (wave, state) => ({ key: `status/${wave}`, value: { state } }),
      },
      clock: new SystemClock(),
      metrics: new NoMetrics(),
      newId: () => ids.next().value ?? '',
      maxLeaseMs: 5_000,
      orderHandoverMs: 1_000,
      onSuperseded: () => undefined,
      inheritedBulletin: EMPTY_BULLETIN,
    },
    { log: silentLogger, signal: controller.signal },
  );
}

async function store(part: TableStore, key: string, value: unknown): Promise<void> {
  const writes = [{ key, value: value as JsonValue }];
  await part.commit({ txnId: key, conditions: [], writes }, controller.signal);
}

async function storeJob(id: string): Promise<void> {
  const job = { id, queue: 'q1', team: '', acceptedWallMs: Date.now(), policy: JOB_POLICY };
  const part = tables.open(intakePart(id));
  await store(part, `jobs/${id}`, { ...job, spec: JOB_SPEC });
}

async function called(call: string): Promise<boolean> {
  for (let waited = 0; waited < RESUME_MS && !calls.includes(call); waited += 5) {
    await sleep(5, controller.signal);
  }
  return calls.includes(call);
}

test('a leader whose lease has lapsed calls executors, and lacks contact when it is valid again', async () => {
  await store(tables.open(''), 'servers/e1', EXECUTOR);
  const owner = createOwner();
  await owner.start({ config: JOB_CONFIG, zonesOut: new Set(), waves: [] });
  await storeJob('first');
  expect(await called('start first')).toBe(true);

  leading = false;
  await sleep(100, controller.signal);
  owner.takeLoad();
  calls.splice(0);
  await storeJob('second');
  await store(tables.open(intakePart('first')), 'cancels/first', {});
  await sleep(LAPSE_MS, controller.signal);
  expect(calls).toEqual([]);
  const { events } = owner.takeLoad() as { events: { readonly report?: number } };
  expect(Object.keys(events).sort()).toEqual(['cancelled', 'jobs', 'report', 'tick']);
  expect(events.report).toBe(1);

  leading = true;
  expect(await called('start second')).toBe(true);
  expect(calls).toContain('poll');
});

function intakePart(id: string): string {
  return INTAKE_PART_NAMES[intakePartOf(id)] ?? '';
}
