import { expect, test } from '@jest/globals';
import {
  ManualClock,
  type EndedRun,
  type JobDecision,
  type JobEvent,
  type JobProgress,
} from '../src/index.js';
import { executor, job, newDecider, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const TASK = { jobId: 'a', occurrence: 0, step: 0, index: 0 } as const;
const RETENTION_MS = 2_000;
const TICK_MS = 100;

test('a job runs again after a snapshot lists it that has ended long ago', () => {
  const clock = new ManualClock(1_000);
  const decider = newDecider(clock, { endedJobRetentionMs: RETENTION_MS });
  const handle = (event: JobEvent): readonly JobDecision[] => {
    clock.advance(TICK_MS);
    return decider.handle(event, clock.now());
  };
  const report = (ended: readonly EndedRun[]): void => {
    const sentAt = clock.now();
    const sent = { executor: 'e1', startedWallMs: 1, sentAt, running: [], ended };
    handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report: sent });
  };
  const listJob = (): readonly JobDecision[] =>
    handle({ type: 'jobs', jobs: [{ accepted: job('a', [step()]) }], adopted: false });
  const starts = (decisions: readonly JobDecision[]): number =>
    decisions.filter(({ type }) => type === 'start').length;

  handle({ type: 'executors', executors: [executor('e1')] });
  report([]);
  expect(starts(listJob())).toBe(1);
  report([{ seq: 1, task: TASK, attempt: 1, reason: 'done', checkpoint: '' }]);
  for (let passed = 0; passed <= 2 * RETENTION_MS; passed += 2 * TICK_MS) {
    handle({ type: 'tick' });
    report([]);
  }
  // The store's history was dropped, so the table is read anew.
  expect(starts(listJob())).toBe(0);
});

// Load pattern: rows of ended jobs are not removed from the store, so each new leader finds all jobs
// that ever were.
test('a new leader takes as long for a job that has ended long ago as for one that is open', () => {
  const timeOf = (endedAgoMs: number | undefined): number => {
    const clock = new ManualClock(10 * RETENTION_MS);
    const decider = newDecider(clock, { endedJobRetentionMs: RETENTION_MS });
    const endedWallMs = endedAgoMs === undefined ? 0 : clock.wall() - endedAgoMs;
    const progress: JobProgress = {
      state: endedAgoMs === undefined ? 'running' : 'completed',
      endedWallMs,
      done: endedAgoMs === undefined ? {} : { '0.0': 'all' },
      failures: {},
    };
    const jobs = Array.from({ length: 20_000 }, (_, n) => ({
      accepted: job(`j${n}`, [step({ taskCount: 8 })]),
      progress,
    }));
    const startedAt = performance.now();
    decider.handle({ type: 'jobs', jobs, adopted: true }, clock.now());
    return performance.now() - startedAt;
  };
  timeOf(undefined);
  expect(timeOf(2 * RETENTION_MS)).toBeLessThan(timeOf(undefined) / 4);
});
