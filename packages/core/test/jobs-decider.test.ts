import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import type { JobDecider } from '../src/index.js';
import { ManualClock, type JobEvent, type EndedRun, type ReportedRun } from '../src/index.js';
import { executor, job, POLICY, step, newDecider } from './support/job-fixtures.js';
import { JobWorld } from './support/job-world.js';

// Each test is named after the failure that it guards against.

const THREE = [executor('e1'), executor('e2'), executor('e3', { rack: 'r2' })];

describe('jobs on a virtual clock', () => {
  test('a step starts before its predecessors are done', () => {
    const world = new JobWorld(THREE, 1);
    world.submit(job('a', [step({ taskCount: 4 }), step({ after: [0], taskCount: 2 })]));
    world.run(250);
    const running = [...world.executors.values()].flatMap(({ runs }) => [...runs.values()]);
    expect(running.map(({ task }) => task.step)).toEqual([0, 0, 0, 0]);
    world.run(2_000);
    expect(world.progress.get('a')?.state).toBe('completed');
  });

  test('a job whose task always fails is retried without end', () => {
    const world = new JobWorld(THREE, 2);
    world.faults = { answerLost: 0, late: 0, runFails: 1 };
    world.submit(job('a', [step()]));
    world.run(30_000);
    expect(world.progress.get('a')?.state).toBe('failed');
    expect(world.progress.get('a')?.failures['0.0.0']).toHaveLength(4);
  });

  test('tasks of a cancelled job keep running', () => {
    const world = new JobWorld(THREE, 3);
    world.submit(job('a', [step({ lasting: true, taskCount: 3 })]));
    world.run(1_000);
    world.cancel('a');
    world.run(1_000);
    expect([...world.executors.values()].flatMap(({ runs }) => [...runs.keys()])).toEqual([]);
    expect(world.progress.get('a')?.state).toBe('cancelled');
  });

  test('a cancellation that arrives before its job is lost', () => {
    const world = new JobWorld(THREE, 4);
    world.cancel('a');
    world.submit(job('a', [step()]));
    world.run(1_000);
    expect(world.progress.get('a')?.state).toBe('cancelled');
  });

  test('a lasting task is not started again after its executor has restarted', () => {
    const world = new JobWorld(THREE, 5);
    world.submit(job('a', [step({ lasting: true, taskCount: 3, maxPerExecutor: 1 })]));
    world.run(1_000);
    world.restart('e1');
    world.run(3_000);
    const running = [...world.executors.values()].flatMap(({ runs }) => [...runs.keys()]);
    expect(running.sort()).toEqual(['a.0.0.0', 'a.0.0.1', 'a.0.0.2']);
  });

  test('a gang starts although not all its tasks fit', () => {
    const small = { processors: 2, memoryMb: 8_000, accelerators: 0 };
    const world = new JobWorld([executor('e1', { capacity: small })], 6);
    world.submit(job('a', [step({ gang: true, taskCount: 3 })]));
    world.run(1_000);
    expect(world.executors.get('e1')?.runs.size).toBe(0);
  });

  test('jobs are never completed after their owner has died', () => {
    const world = new JobWorld(THREE, 7);
    for (let i = 0; i < 10; i += 1) {
      world.submit(job(`j${i}`, [step({ taskCount: 4 }), step({ after: [0] })]));
    }
    world.run(100);
    world.killOwner();
    world.run(15_000);
    expect([...world.progress.values()].map(({ state }) => state)).toEqual(
      Array.from({ length: 10 }, () => 'completed'),
    );
    expect(world.violations).toEqual([]);
  });
});

describe('an unanswered start', () => {
  const task = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
  const emptyReport = { executor: 'e1', startedWallMs: 1, running: [], ended: [] };

  function afterUnansweredStart(): { readonly decider: JobDecider; readonly clock: ManualClock } {
    const clock = new ManualClock(1_000);
    const decider = newDecider(clock);
    const reportAt = (sentAt: number): JobEvent => ({
      type: 'report',
      leaseEndsAt: 100_000,
      report: { ...emptyReport, sentAt },
    });
    decider.handle({ type: 'executors', executors: [executor('e1')] }, 1_000);
    decider.handle(reportAt(1_000), 1_000);
    decider.handle(
      { type: 'jobs', jobs: [{ accepted: job('a', [step()]) }], adopted: false },
      1_000,
    );
    const answer = { type: 'start-answer', task, attempt: 1, executor: 'e1' } as const;
    decider.handle({ ...answer, outcome: 'unknown' }, 1_450);
    decider.handle(reportAt(1_500), 1_502);
    return { decider, clock };
  }

  test('its task is never started again while stops are repeated', () => {
    const { decider } = afterUnansweredStart();
    const stopped = {
      type: 'stop-answer',
      task,
      attempt: 1,
      executor: 'e1',
      answered: true,
    } as const;
    decider.handle(stopped, 1_510);
    decider.handle({ type: 'tick' }, 2_200);
    decider.handle(stopped, 2_210);
    const report = { ...emptyReport, sentAt: 1_900 };
    const decisions = decider.handle({ type: 'report', leaseEndsAt: 100_000, report }, 2_900);
    expect(decisions).toContainEqual(expect.objectContaining({ type: 'start', task, attempt: 2 }));
  });

  test('its task starts again before the stop is answered', () => {
    const { decider } = afterUnansweredStart();
    const report = { ...emptyReport, sentAt: 2_000 };
    const decisions = decider.handle({ type: 'report', leaseEndsAt: 100_000, report }, 2_002);
    expect(decisions.filter(({ type }) => type === 'start')).toEqual([]);
  });
});

test('failures of runs that were given up are acknowledged but not counted', () => {
  const clock = new ManualClock(1_000);
  const decider = newDecider(clock);
  const accepted = { ...job('a', [step()]), policy: { ...POLICY, maxAttempts: 1 } };
  const look = (sentAt: number, ended: readonly EndedRun[]): JobEvent => ({
    type: 'report',
    leaseEndsAt: sentAt + 1_000,
    report: { executor: 'e1', startedWallMs: 1, sentAt, running: [], ended },
  });
  decider.handle({ type: 'executors', executors: [executor('e1')] }, 1_000);
  decider.handle(look(1_000, []), 1_000);
  decider.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false }, 1_000);
  // The executor does not answer until its lease has ended, and then reports the end of the run.
  decider.handle({ type: 'tick' }, 3_000);
  const task = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
  const end = { seq: 1, task, attempt: 1, reason: 'failed', checkpoint: '' } as const;
  const decisions = decider.handle(look(3_100, [end]), 3_100);
  expect(decisions.filter(({ type }) => type === 'start')).toEqual([]);
  expect(decisions).toContainEqual(
    expect.objectContaining({ progress: expect.objectContaining({ state: 'failed' }) }),
  );
});

describe('after a takeover', () => {
  test('a failure that the previous owner has counted is counted again', () => {
    const clock = new ManualClock(1_000);
    const decider = newDecider(clock, { firstAttempt: 1_001 });
    const failures = { '0.0.0': [1, 2, 3] };
    const progress = { state: 'running', endedWallMs: 0, done: {}, failures } as const;
    const accepted = job('a', [step()]);
    decider.handle({ type: 'jobs', jobs: [{ accepted, progress }], adopted: true }, 1_000);
    decider.handle({ type: 'executors', executors: [executor('e1')] }, 1_000);
    const task = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
    const end = { seq: 1, task, attempt: 3, reason: 'failed', checkpoint: '' } as const;
    const report = { executor: 'e1', startedWallMs: 1, sentAt: 1_100, running: [], ended: [end] };
    const decisions = decider.handle({ type: 'report', leaseEndsAt: 9_000, report }, 1_100);
    expect(decisions.map(({ type }) => type)).toEqual(['acknowledge', 'start']);
  });

  test('tasks are started twice because the executors that run them are not listed yet', () => {
    const decider = newDecider(new ManualClock(1_000), {
      firstAttempt: 1_001,
      recoveryEndsAt: 6_000,
    });
    const report = { executor: 'e1', startedWallMs: 1, sentAt: 1_100, running: [], ended: [] };
    const jobs = [{ accepted: job('a', [step()]) }];
    decider.handle({ type: 'jobs', jobs, adopted: true }, 1_000);
    decider.handle({ type: 'executors', executors: [executor('e1'), executor('e2')] }, 1_010);
    const starts = (id: string): number =>
      decider
        .handle({ type: 'report', leaseEndsAt: 9_000, report: { ...report, executor: id } }, 1_100)
        .filter(({ type }) => type === 'start').length;
    // The second report tells that no executor runs the task.
    expect([starts('e1'), starts('e2')]).toEqual([0, 1]);
  });

  test('tasks of an executor that the platform no longer lists are started twice', () => {
    const clock = new ManualClock(1_000);
    const decider = newDecider(clock, {
      firstAttempt: 1_001,
      recoveryEndsAt: 6_000,
      inheritedExecutors: ['e1', 'e2'],
    });
    const report = { executor: 'e1', startedWallMs: 1, sentAt: 1_000, running: [], ended: [] };
    const reportEvent: JobEvent = { type: 'report', leaseEndsAt: 100_000, report };
    decider.handle(
      { type: 'jobs', jobs: [{ accepted: job('a', [step()]) }], adopted: true },
      1_000,
    );
    decider.handle({ type: 'executors', executors: [executor('e1')] }, 1_000);
    const starts = (now: number): number =>
      decider
        .handle({ ...reportEvent, report: { ...report, sentAt: now } }, now)
        .filter(({ type }) => type === 'start').length;
    expect([starts(1_100), starts(5_900), starts(6_000)]).toEqual([0, 0, 1]);
  });

  test('a task is started twice whose lease the new owner extends before it knows the job', () => {
    const clock = new ManualClock(1_000);
    const decider = newDecider(clock, {
      firstAttempt: 1_001,
      recoveryEndsAt: 6_000,
      inheritedExecutors: ['e1', 'e2'],
    });
    const task = { jobId: 'a', occurrence: 0, step: 0, index: 0 };
    const run = { task, attempt: 3, checkpoint: '', percent: 100, gauge: 0 };
    const look = (id: string, running: readonly ReportedRun[]): JobEvent => ({
      type: 'report',
      leaseEndsAt: 11_000,
      report: { executor: id, startedWallMs: 1, sentAt: 6_050, running, ended: [] },
    });
    const infos = [executor('e1'), executor('e2')];
    decider.handle({ type: 'executors', executors: infos }, 1_000);
    for (const id of ['e1', 'e2']) {
      decider.handle({ type: 'lease', executor: id, leaseEndsAt: 11_000 }, 5_900);
    }
    const jobs = [{ accepted: job('a', [step({ lasting: true })]) }];
    const decisions = [
      ...decider.handle({ type: 'jobs', jobs, adopted: true }, 6_100),
      ...decider.handle(look('e2', []), 6_100),
      ...decider.handle(look('e1', [run]), 6_100),
    ];
    expect(decisions).toEqual([]);
  });
});

const action = fc.record({
  afterMs: fc.integer({ min: 0, max: 1_500 }),
  what: fc.constantFrom('submit', 'submit', 'submit', 'cancel', 'kill', 'restart', 'lapse'),
  which: fc.nat(20),
});

describe('jobs under faults', () => {
  test('a task runs twice or a job is lost when calls are late or lost, leases lapse, or owners and executors die', () => {
    fc.assert(
      fc.property(fc.array(action, { maxLength: 14 }), fc.nat(1e6), (actions, seed) => {
        const world = new JobWorld(THREE, seed);
        world.faults = { answerLost: 0.05, late: 0.05, runFails: 0.05 };
        actions.forEach(({ afterMs, what, which }, i) => {
          world.run(afterMs);
          const known = [...world.jobs.keys()];
          switch (what) {
            case 'submit':
              world.submit(
                job(`j${i}`, [step({ taskCount: 1 + (which % 5) }), step({ after: [0] })]),
              );
              return;
            case 'cancel':
              if (known.length > 0) {
                world.cancel(known[which % known.length] ?? '');
              }
              return;
            case 'kill':
              world.killOwner();
              return;
            case 'lapse':
              world.lapseLease();
              return;
            case 'restart':
              world.restart(`e${1 + (which % 3)}`);
          }
        });
        world.faults = { answerLost: 0, late: 0, runFails: 0 };
        world.run(40_000);
        expect(world.violations).toEqual([]);
        for (const id of world.jobs.keys()) {
          const state = world.progress.get(id)?.state;
          const expected = world.cancelled.has(id)
            ? /completed|failed|cancelled/
            : /completed|failed/;
          expect(state).toMatch(expected);
        }
      }),
      { numRuns: 1_000, seed: 20261204 },
    );
  });
});
