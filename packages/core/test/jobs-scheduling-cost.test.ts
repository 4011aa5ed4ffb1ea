import { expect, test } from '@jest/globals';
import {
  JobDecider,
  ManualClock,
  type EndedRun,
  type JobDecision,
  type JobEvent,
  type Millis,
} from '../src/index.js';
import { CountingOrder } from './support/counting-order.js';
import { executor, job, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against. Work is counted in ranked jobs: a
// round that looks at all open jobs ranks each of them.

const EXECUTORS = Array.from({ length: 60 }, (_, index) => executor(`e${index}`));
const REPORTS = 100;

/** A full pool whose owner handles a queue of events before the round that they make due. */
class FullPool {
  readonly order = new CountingOrder();
  readonly #decider = new JobDecider({
    clock: new ManualClock(1_000),
    firstAttempt: 1,
    recoveryEndsAt: 0,
    ordersAllowedAt: 0,
    endedJobRetentionMs: 60_000,
    leases: { termMs: 4_840, longestMs: 6_370 },
    order: this.order,
  });
  readonly #starts: Extract<JobDecision, { type: 'start' }>[] = [];
  readonly #endSeqs = new Map<string, number>();
  #now: Millis = 1_000;

  constructor(openJobs: number, jobsWithoutExecutor = 0) {
    this.handle({ type: 'executors', executors: EXECUTORS });
    EXECUTORS.forEach(({ id }) => {
      this.#report(id, []);
    });
    const steps = [step({ taskCount: 8 })];
    const labelled = [step({ requiredLabel: 'none' })];
    const jobs = Array.from({ length: openJobs + jobsWithoutExecutor }, (_, n) => ({
      accepted: job(`j${n}`, n < openJobs ? steps : labelled),
    }));
    this.handle({ type: 'jobs', jobs, adopted: false });
    this.runDueRound();
    this.order.ranked = 0;
  }

  handle(event: JobEvent): void {
    this.#now += 1;
    const starts = this.#decider.handle(event, this.#now).filter(({ type }) => type === 'start');
    this.#starts.push(...(starts as Extract<JobDecision, { type: 'start' }>[]));
  }

  get started(): number {
    return this.#starts.length;
  }

  runDueRound(): void {
    if (this.#decider.needsRound(this.#now)) {
      this.handle({ type: 'schedule' });
    }
  }

  /** Handles the report that the oldest task has ended. */
  end(): void {
    const start = this.#starts.shift();
    if (start === undefined) {
      throw new Error('no task runs');
    }
    const { executor: id, task, attempt } = start;
    const seq = (this.#endSeqs.get(id) ?? 0) + 1;
    this.#endSeqs.set(id, seq);
    this.#report(id, [{ seq, task, attempt, reason: 'done', checkpoint: '' }]);
  }

  #report(id: string, ended: readonly EndedRun[]): void {
    const report = { executor: id, startedWallMs: 1, sentAt: this.#now, running: [], ended };
    this.handle({ type: 'report', leaseEndsAt: this.#now + 5_000, report });
  }
}

// Load pattern: an owner that is late finds the reports of many ended tasks in its queue while its
// pool has thousands of open jobs. A round for each report makes it later still.
test('an owner with a backlog ranks all open jobs for each report that waits in its queue', () => {
  const pool = new FullPool(2_000);
  for (let n = 0; n < REPORTS; n += 1) {
    pool.end();
  }
  pool.runDueRound();
  expect(pool.order.ranked).toBeLessThanOrEqual(2_000);
  expect(pool.started).toBe(EXECUTORS.length * 8);
});

// Load pattern: an owner that keeps up, so that each report finds an empty queue and gets a round of
// its own, while its pool has thousands of open jobs.
test('each round ranks all open jobs again although one of them has changed', () => {
  const pool = new FullPool(2_000);
  for (let n = 0; n < REPORTS; n += 1) {
    pool.end();
    pool.runDueRound();
  }
  expect(pool.order.ranked).toBeLessThanOrEqual(2_000 + 5 * REPORTS);
  expect(pool.started).toBe(EXECUTORS.length * 8);
});

// Load pattern: thousands of jobs need a label that no executor of their pool has.
test('jobs that no executor can run are ranked in each round', () => {
  const pool = new FullPool(460, 2_000);
  for (let n = 0; n < REPORTS; n += 1) {
    pool.end();
    pool.runDueRound();
  }
  expect(pool.order.ranked).toBeLessThanOrEqual(2_460 + 5 * REPORTS);
  expect(pool.started).toBe(EXECUTORS.length * 8);
});
