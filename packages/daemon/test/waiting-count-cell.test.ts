import { afterEach, beforeEach, describe, expect, test } from '@jest/globals';
import type { JsonValue } from '@turmerichoist/coordination';
import type { Millis } from '@turmerichoist/core';
import { sleep } from '@turmerichoist/runtime';
import type { JobCell } from '../src/jobs/index.js';
import { INTAKE_PART_NAMES, intakePartOf } from '../src/jobs/intake.js';
import {
  JOB_POLICY,
  JOB_SPEC,
  startMember as startCellMember,
} from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

/** An accepted job must be in the count after this time. */
const VISIBLE_MS: Millis = 5_000;

let controller: AbortController;
let tables: PartedTables;

beforeEach(() => {
  controller = new AbortController();
  tables = new PartedTables();
});

afterEach(() => {
  controller.abort();
});

function startMember(member: string): JobCell {
  return startCellMember(member, tables, controller.signal);
}

/** Stores jobs as another member does that has accepted them. */
async function storeJobs(ids: readonly string[]): Promise<void> {
  for (const id of ids) {
    const policy = JOB_POLICY;
    const job = { id, queue: 'q1', team: '', acceptedWallMs: Date.now(), policy, spec: JOB_SPEC };
    const writes = [{ key: `jobs/${id}`, value: job as unknown as JsonValue }];
    const part = INTAKE_PART_NAMES[intakePartOf(id)] ?? '';
    await tables.open(part).commit({ txnId: id, conditions: [], writes }, controller.signal);
  }
}

/** Number of waiting jobs as a caller sees it; the kind of error if it is refused. */
async function waitingAt(cell: JobCell): Promise<number | string> {
  const call = { host: 'jobs.example', path: '/q1/', key: undefined, timeoutMs: 1_000 };
  const reply = await cell.handle({ ...call, action: { type: 'read' } });
  if (reply.isErr()) {
    return reply.error.kind;
  }
  return reply.value.type === 'waiting' ? reply.value.count : reply.value.type;
}

describe('the waiting count of a cell', () => {
  test('jobs that another member has accepted are never counted', async () => {
    const cell = startMember('a');
    await storeJobs(['a1', 'a2']);
    await sleep(2_000, controller.signal);
    expect(await waitingAt(cell)).toBe(2);
  }, 10_000);

  test('a new leader says that no job waits before it has loaded the jobs', async () => {
    await storeJobs(['a1', 'a2']);
    tables.unreadable = 'jobs';
    const cell = startMember('a');
    await sleep(1_500, controller.signal);
    expect(await waitingAt(cell)).toBe('not-ready');
  }, 10_000);

  test('no job is said to wait although one has waited for 5 s, as the leader is behind', async () => {
    const cell = startMember('a');
    await sleep(1_000, controller.signal);
    tables.unreadable = 'jobs';
    await storeJobs(['a1', 'a2']);
    await sleep(VISIBLE_MS, controller.signal);
    expect(await waitingAt(cell)).toBe('not-ready');
    tables.unreadable = undefined;
    await sleep(1_500, controller.signal);
    expect(await waitingAt(cell)).toBe(2);
  }, 15_000);
});
