import { afterEach, beforeEach, expect, test } from '@jest/globals';
import { Ok, type Millis } from '@turmerichoist/core';
import { intakePartOf } from '../src/jobs/intake.js';
import type { JobCell } from '../src/jobs/job-cell.js';
import type { JobCall, JobReply } from '../src/jobs/ports.js';
import { JOB_SPEC, startMember as startCellMember } from './support/job-cell-fixture.js';
import { PartedTables } from './support/parted-tables.js';

// Each test is named after the failure that it guards against.

const JOBS = 40;
const WAIT_MS: Millis = 5_000;
const CHECK_MS: Millis = 10;

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

function jobId(n: number): string {
  return n.toString(16).padStart(16, '0');
}

async function call(cell: JobCell, rest: string, action: JobCall['action']): Promise<JobReply> {
  await eventually(() => Promise.resolve(cell.ready));
  const path = `/q1/${rest}`;
  const req = { host: 'jobs.example', path, key: undefined, timeoutMs: 2_000, action };
  return (await cell.handle(req)).unwrap();
}

function submit(cell: JobCell, id: string): Promise<JobReply> {
  return call(cell, id, { type: 'submit', spec: Ok(JOB_SPEC) });
}

async function eventually(check: () => Promise<boolean>): Promise<void> {
  for (let waited = 0; waited < WAIT_MS && !(await check()); waited += CHECK_MS) {
    await new Promise((resolve) => setTimeout(resolve, CHECK_MS));
  }
  expect(await check()).toBe(true);
}

async function submitJobs(cell: JobCell): Promise<void> {
  await Promise.all(Array.from({ length: JOBS }, (_, n) => submit(cell, jobId(n))));
}

async function waitingAt(cell: JobCell): Promise<number | undefined> {
  const req = { host: 'jobs.example', path: '/q1/', key: undefined, timeoutMs: 2_000 };
  const reply = await cell.handle({ ...req, action: { type: 'read' } });
  return reply.isOk() && reply.value.type === 'waiting' ? reply.value.count : undefined;
}

test('accepted jobs take the write capacity of the leader from it', async () => {
  const cell = startMember('a');
  await submitJobs(cell);
  await call(cell, jobId(1), { type: 'cancel' });
  const ofCallers = tables.commits.filter(({ txn }) =>
    txn.writes.some(({ key }) => key.startsWith('jobs/') || key.startsWith('cancels/')),
  );
  expect(ofCallers.length).toBeGreaterThan(0);
  expect(ofCallers.filter(({ part }) => part === 'c0')).toEqual([]);
});

test('the jobs of all members share the capacity of one part', async () => {
  await submitJobs(startMember('a'));
  const parts = new Set(tables.rowsOf('jobs').map(({ part }) => part));
  const chosen = Array.from({ length: JOBS }, (_, n) => intakePartOf(jobId(n)));
  expect(parts.size).toBe(new Set(chosen).size);
});

test('a job is stored twice because two entries chose different parts', async () => {
  const [first, second] = [startMember('a'), startMember('b')];
  await submitJobs(first);
  await submitJobs(second);
  expect(tables.rowsOf('jobs').length).toBe(JOBS);
});

test('the leader never learns of jobs or cancellations in some parts', async () => {
  const [first, second] = [startMember('a'), startMember('b')];
  await submitJobs(second);
  await eventually(async () => (await waitingAt(first)) === JOBS);
  for (let n = 0; n < JOBS; n += 1) {
    await call(first, jobId(n), { type: 'cancel' });
  }
  await eventually(async () => (await waitingAt(second)) === 0);
});

test('an accepted job is said not to exist by another entry', async () => {
  const [first, second] = [startMember('a'), startMember('b')];
  await submitJobs(first);
  for (let n = 0; n < JOBS; n += 1) {
    const reply = await call(second, jobId(n), { type: 'read' });
    expect(reply).toEqual({ type: 'state', state: 'queued' });
  }
});
