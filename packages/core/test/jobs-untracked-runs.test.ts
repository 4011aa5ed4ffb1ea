import { expect, test } from '@jest/globals';
import { ManualClock, type JobDecision, type ReportedRun } from '../src/index.js';
import { executor, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const EXECUTORS = 250;
const RUNS_PER_EXECUTOR = 100;
/** With a cost that grows with the stops already sent, it took 6.5 s. */
const LIMIT_MS = 500;

// Load pattern: a new leader learns from the first reports of the tasks of jobs that were cancelled.
test('stopping many unknown runs takes time that grows with the square of their number', () => {
  const clock = new ManualClock(1_000);
  const decider = newDecider(clock);
  const ids = Array.from({ length: EXECUTORS }, (_, n) => `e${n}`);
  decider.handle({ type: 'executors', executors: ids.map((id) => executor(id)) }, clock.now());
  const decisions: JobDecision[] = [];
  const startedAt = performance.now();
  for (const id of ids) {
    const running: readonly ReportedRun[] = Array.from(
      { length: RUNS_PER_EXECUTOR },
      (_, index) => ({
        task: { jobId: id, occurrence: 0, step: 0, index },
        attempt: 1,
        checkpoint: '',
        percent: 0,
        gauge: 0,
      }),
    );
    const report = { executor: id, startedWallMs: 1, sentAt: clock.now(), running, ended: [] };
    const leaseEndsAt = clock.now() + 5_000;
    decisions.push(...decider.handle({ type: 'report', leaseEndsAt, report }, clock.now()));
  }
  expect(performance.now() - startedAt).toBeLessThan(LIMIT_MS);
  expect(decisions.filter(({ type }) => type === 'stop').length).toBe(
    EXECUTORS * RUNS_PER_EXECUTOR,
  );
});
