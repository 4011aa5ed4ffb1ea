import { afterEach, beforeEach, describe, expect, jest, test } from '@jest/globals';
import { MemoryTableStore, type TableStore } from '@turmerichoist/coordination';
import { JobDirectory, ManualClock, Ok, SeededRandom, type JobSpec } from '@turmerichoist/core';
import { NoMetrics, silentLogger, type Metrics } from '@turmerichoist/runtime';
import type { PublishedWorkAhead } from '../src/jobs/bulletin.js';
import { JobIntake } from '../src/jobs/intake.js';
import { JobService } from '../src/jobs/job-service.js';
import { JOB_CONFIG, JOB_SPEC } from './support/job-cell-fixture.js';

// Each test is named after the failure that it guards against.

const CALL_MS = 3_000;
const POLL_MS = 250;
const START_MS = 9_000;
const LANE = {
  queue: 'q1',
  processors: 8,
  workPercent: 100,
  teams: { '': [[0, START_MS / 100, START_MS / 100] as const] },
};
const BACKLOG: PublishedWorkAhead = { lanes: [LANE], ageMs: 100 };

let controller: AbortController;
let clock: ManualClock;
let commits: number;
let loseAnswers: boolean;
let service: JobService;
let log: { readonly info: ReturnType<typeof jest.fn> };
let metrics: Metrics;

beforeEach(() => {
  controller = new AbortController();
  clock = new ManualClock(100_000);
  commits = 0;
  loseAnswers = false;
  log = { info: jest.fn() };
  metrics = new NoMetrics();
  service = openService();
});

afterEach(() => {
  controller.abort();
});

function openService(): JobService {
  const store = new MemoryTableStore();
  const commit: TableStore['commit'] = async (txn, signal) => {
    commits += 1;
    const done = await store.commit(txn, signal);
    // The call that waits for it ends with its deadline.
    return loseAnswers ? new Promise(() => undefined) : done;
  };
  const counted = { commit, read: store.read.bind(store) } as TableStore;
  const { signal } = controller;
  const context = { log: silentLogger, signal };
  const random = new SeededRandom(1);
  let ids = 0;
  const newId = (): string => `txn-${(ids += 1)}`;
  const intake = new JobIntake(
    { tables: { openIntake: () => counted }, clock, random, newId },
    context,
  );
  const logger = { ...silentLogger, info: log.info } as unknown as typeof silentLogger;
  const opened = new JobService({
    intake,
    cell: store,
    clock,
    random,
    log: logger,
    metrics,
    signal,
  });
  opened.setDirectory(new JobDirectory(JOB_CONFIG));
  return opened;
}

/** Reads two publications; only the second is known not to be older than the read before. */
function inform(workAhead: PublishedWorkAhead | undefined, epoch = 7): void {
  [1, 2].forEach((beat) => {
    clock.advance(POLL_MS);
    service.observePublication({
      epoch,
      beat,
      waiting: undefined,
      workAhead,
      sentAt: clock.now(),
    });
  });
}

function submit(id: string, timeoutMs = CALL_MS, spec: JobSpec = JOB_SPEC) {
  return service.handle({
    host: 'jobs.example',
    path: `/q1/${id.padStart(16, '0')}`,
    key: undefined,
    timeoutMs,
    action: { type: 'submit', spec: Ok(spec) },
  });
}

async function outcome(id: string, timeoutMs = CALL_MS): Promise<string> {
  const reply = await submit(id, timeoutMs);
  return reply.isOk() ? reply.value.type : reply.error.kind;
}

describe('a submission under overload', () => {
  test('is refused with a call to the store, too early a retry or no reason in the log', async () => {
    const counted = jest.spyOn(metrics, 'count');
    inform(BACKLOG);
    const refused = (await submit('a')).unwrapErr();
    expect(refused.kind).toBe('queue-full');
    // Served since the read: 350 ms.
    expect(refused.retryAfterMs).toBeGreaterThanOrEqual(START_MS - POLL_MS - 100);
    expect(refused.retryAfterMs).toBeLessThan(1.25 * START_MS);
    expect(commits).toBe(0);
    expect(log.info).toHaveBeenLastCalledWith(
      'job submitted',
      expect.objectContaining({
        outcome: 'queue-full',
        expectedStartMs: START_MS - POLL_MS - 100,
        limitMs: 5_400,
        figuresAgeMs: POLL_MS + 100,
      }),
    );
    expect(counted).toHaveBeenCalledWith('admission.refused', 1, { queue: 'q1' });
  });

  test('is refused before there are figures of known age', async () => {
    const row = { epoch: 7, beat: 1, waiting: undefined, workAhead: BACKLOG };
    service.observePublication({ ...row, sentAt: clock.now() });
    expect(await outcome('a')).toBe('accepted');
  });

  test('is refused by figures that are no longer renewed', async () => {
    inform(BACKLOG);
    clock.advance(3_500);
    expect(await outcome('a')).toBe('accepted');
  });

  test('is refused by the figures of a former leader', async () => {
    inform(BACKLOG);
    inform(undefined, 8);
    expect(await outcome('a')).toBe('accepted');
  });

  test('is refused by an old publication that the store carries out late', async () => {
    inform(BACKLOG);
    inform({ lanes: [], ageMs: 100 }, 8);
    inform(BACKLOG);
    expect(await outcome('a')).toBe('accepted');
  });

  test('is refused while the store does not answer', async () => {
    inform(BACKLOG);
    service.setReachable(false);
    expect(await outcome('a', CALL_MS)).toBe('store-unavailable');
  });

  test('of a job that was accepted is refused', async () => {
    expect(await outcome('a')).toBe('accepted');
    inform(BACKLOG);
    expect(await outcome('a')).toBe('accepted');
    expect(await outcome('b')).toBe('queue-full');
  });

  test('of a job that may be stored, as its first call got no answer, is refused', async () => {
    loseAnswers = true;
    void submit('a');
    loseAnswers = false;
    inform(BACKLOG);
    expect(await outcome('b')).toBe('queue-full');
    void submit('a');
    await new Promise((resolve) => setTimeout(resolve, 5));
    expect(log.info).not.toHaveBeenCalledWith(
      'job submitted',
      expect.objectContaining({ job: 'a'.padStart(16, '0'), outcome: 'queue-full' }),
    );
  });

  // Another member may have stored it and lost the answer; the refusal would say that it never runs.
  test('of a caller that has tried other members is refused', async () => {
    inform(BACKLOG);
    expect(await outcome('a')).toBe('queue-full');
    expect(await outcome('b', 0.9 * CALL_MS)).toBe('accepted');
  });
});
