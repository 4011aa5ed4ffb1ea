import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type EndedRun,
  type JobEvent,
  type JobProgress,
  type StartOutcome,
} from '../src/index.js';
import { executor, job, step, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const TASK = { jobId: 'a', occurrence: 0, step: 0, index: 0 } as const;

/** A cell with one executor and the job `a` of one task, for which a start was sent. */
function startSent(progress?: JobProgress) {
  const decider = newDecider(new ManualClock(1_000));
  let now = 1_000;
  const handle = (event: JobEvent): void => {
    decider.handle(event, (now += 10));
  };
  const report = (ended: readonly EndedRun[], running: readonly string[] = []): void => {
    const listed = running.map((checkpoint) => ({
      task: TASK,
      attempt: 1,
      checkpoint,
      percent: 10,
      gauge: 0,
    }));
    const sent = { executor: 'e1', startedWallMs: 1, sentAt: now, running: listed, ended };
    handle({ type: 'report', leaseEndsAt: now + 1_000, report: sent });
  };
  const answer = (outcome: StartOutcome): void => {
    handle({ type: 'start-answer', task: TASK, attempt: 1, executor: 'e1', outcome });
  };
  handle({ type: 'executors', executors: [executor('e1')] });
  report([]);
  const stored = { accepted: job('a', [step()]), ...(progress === undefined ? {} : { progress }) };
  handle({ type: 'jobs', jobs: [stored], adopted: false });
  return { decider, answer, report, waiting: () => [...decider.waiting.values()] };
}

describe('the number of waiting jobs', () => {
  test.each(['not-sent', 'no-room', 'unhealthy', 'unknown'] as const)(
    'leaves out a job whose only start had the outcome %s, so that no task of it has begun',
    (outcome) => {
      const cell = startSent();
      cell.answer(outcome);
      expect(cell.waiting()).toEqual([1]);
    },
  );

  test('leaves out a job whose start was sent and is not answered yet', () => {
    expect(startSent().waiting()).toEqual([1]);
  });

  test('counts a job whose start was confirmed', () => {
    const cell = startSent();
    cell.answer('started');
    expect(cell.waiting()).toEqual([]);
  });

  test('counts a job whose task an executor lists as running or as ended', () => {
    const running = startSent();
    running.report([], ['']);
    expect(running.waiting()).toEqual([]);
    const lapsed = startSent();
    lapsed.report([{ seq: 1, task: TASK, attempt: 1, reason: 'lapsed', checkpoint: '' }]);
    expect(lapsed.waiting()).toEqual([]);
  });

  test('counts a job of an earlier owner with a task that has ended', () => {
    const failures = { '0.0.0': [1] };
    const cell = startSent({ state: 'running', endedWallMs: 0, done: {}, failures });
    expect(cell.waiting()).toEqual([]);
  });
});
