import { describe, expect, test } from '@jest/globals';
import type {
  EndedRun,
  JobDecision,
  JobState,
  ReportedRun,
  Resources,
  RunEndReason,
} from '../src/index.js';
import { job, POLICY, step } from './support/job-fixtures.js';
import { Successor } from './support/successor.js';

// Each test is named after the failure that it guards against.

/** As many as an executor has room for, and as the cap allows. */
const TASKS = 8;
const CAP: Resources = { processors: TASKS, memoryMb: 0, accelerators: 0 };

const refs = Array.from({ length: TASKS }, (_, index) => ({
  jobId: 'former',
  occurrence: 0,
  step: 0,
  index,
}));
const RUNNING: readonly ReportedRun[] = refs.map((task) => ({
  task,
  attempt: 1,
  checkpoint: '',
  percent: 0,
  gauge: 0,
}));
const ended = (reason: RunEndReason): readonly EndedRun[] =>
  refs.map((task, index) => ({ seq: index + 1, task, attempt: 1, reason, checkpoint: '' }));

/** An owner that has taken over a job which has ended in `state`, and another one that waits. */
class Takeover extends Successor {
  constructor(state: JobState, cap?: Resources) {
    super();
    const team = { name: 't1', weight: 1, cap: cap ?? { ...CAP, processors: 0 } };
    const teams = new Map([['t1', team]]);
    const queues = new Map([['q1', POLICY]]);
    this.handle({ type: 'config', config: { queues, pools: new Map(), teams } });
    this.list('e1', 'e2');
    const wide = [step({ taskCount: TASKS })];
    const progress = { state, endedWallMs: this.clock.wall(), done: {}, failures: {} };
    this.handle({
      type: 'jobs',
      jobs: [{ accepted: job('former', wide), progress }, { accepted: job('next', wide) }],
      adopted: true,
    });
  }

  /** Passes a tick. Returns the executors on which tasks start and those that are told to stop some. */
  tick(decisions: readonly JobDecision[] = []): { starts: readonly string[]; stops: number } {
    this.clock.advance(100);
    const all = [...decisions, ...this.handle({ type: 'tick' })];
    const starts = all.flatMap((one) => (one.type === 'start' ? [one.executor] : []));
    return { starts, stops: all.filter(({ type }) => type === 'stop').length };
  }

  confirmStops(): void {
    refs.forEach((task) => {
      this.handle({ type: 'stop-answer', task, attempt: 1, executor: 'e1', answered: true });
    });
  }
}

describe.each(['cancelled', 'failed', 'completed'] as const)('runs of a %s job', (state) => {
  test.each([
    ['the cap of their team', CAP],
    ['the capacity of their executor', undefined],
  ])('that a new leader stops do not count towards %s', (_what, cap) => {
    const owner = new Takeover(state, cap);
    owner.report('e2');
    const first = owner.tick(owner.report('e1', { running: RUNNING }));
    expect(first.stops).toBe(TASKS);
    const free = cap === undefined ? Array.from({ length: TASKS }, () => 'e2') : [];
    expect(first.starts).toEqual(free);
    owner.confirmStops();
    // They are being stopped.
    expect(owner.tick(owner.report('e1', { running: RUNNING })).starts).toEqual([]);
    const last = owner.tick(owner.report('e1', { ended: ended('stopped') }));
    expect(last.starts).toHaveLength(cap === undefined ? 0 : TASKS);
  });
});

test('runs that a new leader stops do not count, as their queue was removed', () => {
  const owner = new Takeover('cancelled', CAP);
  const team = { name: 't1', weight: 1, cap: CAP };
  const config = { queues: new Map(), pools: new Map(), teams: new Map([['t1', team]]) };
  owner.handle({ type: 'config', config });
  owner.report('e2');
  expect(owner.tick(owner.report('e1', { running: RUNNING }))).toEqual({
    starts: [],
    stops: TASKS,
  });
  expect(owner.tick(owner.report('e1', { ended: ended('stopped') })).starts).toHaveLength(TASKS);
});

test('a run that is being stopped counts for good after an end that is not listed', () => {
  const owner = new Takeover('cancelled', CAP);
  owner.report('e2');
  owner.tick(owner.report('e1', { running: RUNNING }));
  owner.confirmStops();
  owner.clock.advance(10);
  expect(owner.tick(owner.report('e1')).starts).toHaveLength(TASKS);
});

test('a run of a job that has ended is stopped only once, though the stop was lost', () => {
  const owner = new Takeover('cancelled', CAP);
  owner.report('e2');
  expect(owner.tick(owner.report('e1', { running: RUNNING })).stops).toBe(TASKS);
  let stops = 0;
  for (let passed = 0; passed < 1_000; passed += 100) {
    stops += owner.tick(owner.report('e1', { running: RUNNING })).stops;
  }
  expect(stops).toBe(TASKS);
});

describe('a second run of a task', () => {
  /** The task of an open job runs at `e2`, and `e1` lists a run that was given up. */
  function twice(): Successor {
    const owner = new Successor();
    owner.list('e1', 'e2');
    const one = step({ taskCount: 1, resources: { processors: 8, memoryMb: 0, accelerators: 0 } });
    owner.handle({ type: 'jobs', jobs: [{ accepted: job('former', [one]) }], adopted: true });
    const [run] = RUNNING as [ReportedRun];
    owner.report('e2', { running: [{ ...run, attempt: 2 }] });
    owner.report('e1', { running: [run] });
    owner.handle({ type: 'jobs', jobs: [{ accepted: job('next', [one]) }], adopted: false });
    return owner;
  }
  const starts = (decisions: readonly JobDecision[]): readonly string[] =>
    decisions.flatMap((one) =>
      one.type === 'start' ? [`${one.task.jobId} at ${one.executor}`] : [],
    );

  test('takes no capacity while it is being stopped', () => {
    const owner = twice();
    const [run] = RUNNING as [ReportedRun];
    owner.clock.advance(100);
    const decisions = [
      ...owner.report('e1', { running: [run] }),
      ...owner.handle({ type: 'tick' }),
    ];
    expect(starts(decisions)).toEqual([]);
  });

  test('ends, and its task is started once more', () => {
    const owner = twice();
    owner.clock.advance(100);
    const [end] = ended('stopped') as [EndedRun];
    const decisions = [...owner.report('e1', { ended: [end] }), ...owner.handle({ type: 'tick' })];
    expect(starts(decisions)).toEqual(['next at e1']);
  });

  test('hides the end of the first run', () => {
    const owner = twice();
    owner.clock.advance(100);
    const [end] = ended('done') as [EndedRun];
    const decisions = [
      ...owner.report('e2', { ended: [{ ...end, attempt: 2 }] }),
      ...owner.handle({ type: 'tick' }),
    ];
    const persisted = decisions.findLast(({ type }) => type === 'persist');
    expect(persisted).toMatchObject({ job: 'former', progress: { state: 'completed' } });
    expect(starts(decisions)).toEqual(['next at e2']);
  });

  test.each(['failed', 'stopped'] as const)(
    'goes on while the task starts a third time, as its first run ends as %s',
    (reason) => {
      const owner = twice();
      const [run] = RUNNING as [ReportedRun];
      const [end] = ended(reason) as [EndedRun];
      owner.clock.advance(100);
      const first = [
        ...owner.report('e2', { ended: [{ ...end, attempt: 2, checkpoint: '2' }] }),
        ...owner.report('e1', { running: [run] }),
        ...owner.handle({ type: 'tick' }),
      ];
      expect(starts(first)).toEqual(['next at e2']);
      // The time after which a failed task may be started again.
      owner.clock.advance(2_000);
      const [stopped] = ended('stopped') as [EndedRun];
      const last = [
        ...owner.report('e1', { ended: [{ ...stopped, checkpoint: '1' }] }),
        ...owner.handle({ type: 'tick' }),
      ];
      expect(starts(last)).toEqual(['former at e1']);
      // It goes on from the checkpoint of the run that was wanted.
      expect(last.find(({ type }) => type === 'start')).toMatchObject({ checkpoint: '2' });
    },
  );
});
