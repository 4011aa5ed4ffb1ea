import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { JobDirectory, SeededRandom } from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger } from '@turmerichoist/runtime';
import { JobIntake, INTAKE_PART_NAMES, intakePartOf } from '../src/jobs/intake.js';
import { JobService } from '../src/jobs/job-service.js';
import { JOB_CONFIG } from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

const ID = '00000000000000ab';

let controller: AbortController;
let tables: PartedTables;
let reads: string[];

beforeEach(() => {
  controller = new AbortController();
  tables = new PartedTables();
  reads = [];
});

afterEach(() => {
  controller.abort();
});

/** Tables of one part that note the keys that are read. */
function openNoted(part: string) {
  const opened = tables.open(part);
  return {
    ...opened,
    read: (keys: readonly string[], signal: AbortSignal) => {
      reads.push(...keys);
      return opened.read(keys, signal);
    },
  };
}

function newService(): JobService {
  const { signal } = controller;
  const context = { log: silentLogger, signal };
  const clock = new SystemClock();
  const random = new SeededRandom(1);
  const newId = () => 'txn';
  const intake = new JobIntake(
    { tables: { openIntake: openNoted }, clock, random, newId },
    context,
  );
  const cell = openNoted('c0');
  const metrics = new NoMetrics();
  const service = new JobService({
    intake,
    cell,
    clock,
    random,
    log: silentLogger,
    metrics,
    signal,
  });
  service.setDirectory(new JobDirectory(JOB_CONFIG));
  return service;
}

async function store(part: string, key: string, value: object): Promise<void> {
  const txn = { txnId: key, conditions: [], writes: [{ key, value: { ...value } }] };
  await tables.open(part).commit(txn, controller.signal);
}

function readState(service: JobService) {
  const action = { type: 'read' } as const;
  const call = {
    host: 'jobs.example',
    path: `/q1/${ID}`,
    key: undefined,
    timeoutMs: 2_000,
    action,
  };
  return service.handle(call);
}

test('the state of a job with progress costs a read of the job itself, too', async () => {
  await store('c0', `progress/${ID}`, { state: 'running', endedWallMs: 0, done: {}, failures: {} });
  const reply = await readState(newService());
  expect(reply.unwrap()).toEqual({ type: 'state', state: 'running' });
  expect(reads).toEqual([`progress/${ID}`]);
});

test('a job without progress is unknown at a member that did not accept it', async () => {
  const part = INTAKE_PART_NAMES[intakePartOf(ID)] ?? '';
  await store(part, `jobs/${ID}`, { id: ID });
  const reply = await readState(newService());
  expect(reply.unwrap()).toEqual({ type: 'state', state: 'queued' });
});

test('a job that nobody submitted is shown', async () => {
  const reply = await readState(newService());
  expect(reply.unwrapErr().kind).toBe('job-unknown');
  expect(reads).toEqual([`progress/${ID}`, `jobs/${ID}`]);
});
