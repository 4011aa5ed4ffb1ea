import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { Ok, type JobSpec, type Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import type { JobCell } from '../src/jobs/index.js';
import { FakeExecutor } from './support/fake-executor.js';
import { JOB_CONFIG, JOB_SPEC, configure, startMember } from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

/** Well above the time from an acceptance to the read of a bulletin that includes it. */
const PUBLISHED_MS: Millis = 3_000;
const CALL_MS: Millis = 2_500;
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
const [STEP] = JOB_SPEC.steps;
/** Takes the executor 1,000 s, and is in time for 20 s. */
const LARGE: JobSpec = STEP
  ? { ...JOB_SPEC, steps: [{ ...STEP, taskCount: 800, estimateMs: 10_000 }] }
  : JOB_SPEC;
/** Its pool has neither executors nor work. */
const Q2 = { queue: 'q2', host: 'jobs.example', pathPrefix: '/q2/', open: true };

let controller: AbortController;
let tables: PartedTables;

beforeEach(() => {
  controller = new AbortController();
  tables = new PartedTables();
});

afterEach(() => {
  controller.abort();
});

async function submit(cell: JobCell, path: string, spec: JobSpec): Promise<string> {
  const call = { host: 'jobs.example', path, key: undefined, timeoutMs: CALL_MS };
  const reply = await cell.handle({ ...call, action: { type: 'submit', spec: Ok(spec) } });
  return reply.isOk() ? reply.value.type : reply.error.kind;
}

function isStored(id: string): boolean {
  return tables.rowsOf('jobs').some(({ key }) => key === `jobs/${id}`);
}

test('a member does not learn that the pool of a queue is full, or refuses jobs of other queues', async () => {
  const row = { key: 'servers/e1', value: EXECUTOR };
  await tables.open('').commit({ txnId: 'e1', conditions: [], writes: [row] }, controller.signal);
  const executor = new FakeExecutor(EXECUTOR);
  const cells = ['a', 'b'].map((name) => startMember(name, tables, controller.signal, executor));
  const policy = JOB_CONFIG.scheduling.queues.get('q1');
  const queues = new Map([...JOB_CONFIG.scheduling.queues]);
  if (policy !== undefined) {
    queues.set('q2', { ...policy, pool: 'p2' });
  }
  const callers = { ...JOB_CONFIG.callers, routes: [...JOB_CONFIG.callers.routes, Q2] };
  const scheduling = { ...JOB_CONFIG.scheduling, queues };
  cells.forEach((cell) => {
    configure(cell, { revision: 2, callers, scheduling });
  });
  await sleep(PUBLISHED_MS, controller.signal);
  const [first, second] = cells;
  if (first === undefined || second === undefined) {
    throw new Error('no members');
  }
  expect(await submit(first, '/q1/00000000000000a1', LARGE)).toBe('accepted');
  await sleep(PUBLISHED_MS, controller.signal);
  for (const [cell, id] of [
    [first, '00000000000000b1'],
    [second, '00000000000000b2'],
  ] as const) {
    expect(await submit(cell, `/q1/${id}`, JOB_SPEC)).toBe('queue-full');
    expect(isStored(id)).toBe(false);
  }
  expect(isStored('00000000000000a1')).toBe(true);
  expect(await submit(second, '/q2/00000000000000c1', JOB_SPEC)).toBe('accepted');
}, 30_000);
