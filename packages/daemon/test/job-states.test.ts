import { afterEach, beforeEach, expect, jest, test } from '@jest/globals';
import { MemoryTableStore, type JsonValue, type TableStore } from '@turmerichoist/coordination';
import {
  JobDirectory,
  Ok,
  SeededRandom,
  type JobProgress,
  type JobState,
} from '@turmerichoist/core';
import { NoMetrics, SystemClock, silentLogger } from '@turmerichoist/runtime';
import { JobIntake } from '../src/jobs/intake.js';
import { JobService } from '../src/jobs/job-service.js';
import { JOB_CONFIG, JOB_SPEC } from './support/job-cell-fixture.js';

// Each test is named after the failure that it guards against.

const JOB = '00000000000000aa';

const clock = new SystemClock();
let controller: AbortController;
let store: MemoryTableStore;
/** Ends of the reads of progress that are under way, oldest first. */
let heldReads: (() => void)[];
let ids = 0;

beforeEach(() => {
  controller = new AbortController();
  store = new MemoryTableStore();
  heldReads = [];
});

afterEach(() => {
  controller.abort();
});

/** Reads at once and answers when the test says so, so that answers overtake each other. */
const read: TableStore['read'] = async (keys, signal) => {
  const rows = await store.read(keys, signal);
  await new Promise<void>((resolve) => {
    heldReads.push(resolve);
  });
  return rows;
};

function openService(): JobService {
  const newId = (): string => {
    ids += 1;
    return `txn-${ids}`;
  };
  const log = silentLogger;
  const { signal } = controller;
  const random = new SeededRandom(1);
  const intake = new JobIntake(
    { tables: { openIntake: () => store }, clock, random, newId },
    { log, signal },
  );
  const metrics = new NoMetrics();
  const service = new JobService({ intake, cell: { read }, clock, random, log, metrics, signal });
  service.setDirectory(new JobDirectory(JOB_CONFIG));
  return service;
}

async function storeRow(key: string, value: unknown): Promise<void> {
  const writes = [{ key, value: value as JsonValue }];
  await store.commit({ txnId: key, conditions: [], writes }, controller.signal);
}

async function storeState(state: JobState): Promise<void> {
  const progress: JobProgress = { state, endedWallMs: 0, done: {}, failures: {} };
  await storeRow(`progress/${JOB}`, progress);
}

const REQUEST = { host: 'jobs.example', path: `/q1/${JOB}`, key: undefined, timeoutMs: 2_000 };

async function get(service: JobService): Promise<unknown> {
  return (await service.handle({ ...REQUEST, action: { type: 'read' } })).unwrap();
}

async function settle(): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, 5));
}

test('a job is shown as running after it was shown as completed, as an older read ends late', async () => {
  await storeRow(`jobs/${JOB}`, {});
  await storeState('running');
  const service = openService();
  const older = get(service);
  await settle();
  await storeState('completed');
  const newer = get(service);
  await settle();
  heldReads[1]?.();
  expect(await newer).toEqual({ type: 'state', state: 'completed' });
  heldReads[0]?.();
  expect(await older).toEqual({ type: 'state', state: 'completed' });
  service.setReachable(false);
  expect(await get(service)).toEqual({ type: 'state', state: 'completed' });
});

// A signal that depends on others stays registered with them as long as they live, which is the life
// of the process: 250,000 calls took 30 MB.
test('each call leaves a signal behind', async () => {
  const combined = jest.spyOn(AbortSignal, 'any');
  const service = openService();
  await service.handle({ ...REQUEST, action: { type: 'submit', spec: Ok(JOB_SPEC) } });
  const answer = get(service);
  await settle();
  heldReads[0]?.();
  expect(await answer).toEqual({ type: 'state', state: 'queued' });
  expect(combined).not.toHaveBeenCalled();
});

test('a first try is told to wait as callers of another queue give more time', async () => {
  const service = openService();
  const [route] = JOB_CONFIG.callers.routes;
  const routes = ['q1', 'q2'].map((queue) => ({
    queue,
    host: 'jobs.example',
    pathPrefix: `/${queue}/`,
    open: route?.open === true,
  }));
  const callers = { ...JOB_CONFIG.callers, routes };
  service.setDirectory(new JobDirectory({ ...JOB_CONFIG, revision: 2, callers }));
  service.setReachable(false);
  const read = async (path: string, timeoutMs: number): Promise<unknown> => {
    const reply = await service.handle({ ...REQUEST, path, timeoutMs, action: { type: 'read' } });
    return reply.unwrapErr().retryAfterMs;
  };
  expect(await read(`/q1/${JOB}`, 3_000)).toBe(0);
  expect(await read(`/q2/${JOB}`, 2_000)).toBe(0);
  expect(await read(`/q2/${JOB}`, 1_500)).toBe(1_000);
});
