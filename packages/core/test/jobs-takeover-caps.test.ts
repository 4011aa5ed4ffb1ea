import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import type {
  AcceptedJob,
  ExecutorId,
  JobDecision,
  Millis,
  ReportedRun,
  Resources,
} from '../src/index.js';
import { executor, job, step } from './support/job-fixtures.js';
import { JobWorld } from './support/job-world.js';
import { NO_FAULTS } from './support/job-world-settings.js';
import { RECOVERY_MS, Successor } from './support/successor.js';

// Each test is named after the failure that it guards against.

const TASKS = 8;
/** A team may have as much running as one job of it needs. */
const CAP: Resources = { processors: TASKS, memoryMb: 0, accelerators: 0 };

function jobOf(id: string, team: string): AcceptedJob {
  return { ...job(id, [step({ taskCount: TASKS })]), team };
}

function runsOf(jobId: string): readonly ReportedRun[] {
  return Array.from({ length: TASKS }, (_, index) => ({
    task: { jobId, occurrence: 0, step: 0, index },
    attempt: 1,
    checkpoint: '',
    percent: 0,
    gauge: 0,
  }));
}

/** An owner that has taken over a job of team `t1`, whose tasks may run on `e1` or `e2`. */
class CappedSuccessor extends Successor {
  constructor() {
    super();
    const teams = new Map(
      ['t1', 't2'].map((name) => [name, { name, weight: 1, cap: CAP }] as const),
    );
    this.handle({ type: 'config', config: { queues: new Map(), pools: new Map(), teams } });
    this.list('e1', 'e2');
    this.handle({ type: 'jobs', jobs: [{ accepted: jobOf('a', 't1') }], adopted: true });
    this.report('e1');
  }

  /** Returns the jobs of which tasks start, once for each task. */
  reports(id: ExecutorId, running: readonly ReportedRun[]): readonly string[] {
    return started(this.report(id, { running }));
  }

  submit(accepted: AcceptedJob): readonly string[] {
    return started(this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false }));
  }

  /** Passes time, in which `e1` answers its polls, and returns the jobs of which tasks start. */
  startsIn(ms: Millis): readonly string[] {
    return started(this.pass(ms, 'e1'));
  }
}

/** Ids of the jobs of which tasks are started, once for each task. */
function started(decisions: readonly JobDecision[]): readonly string[] {
  return decisions.flatMap((one) => (one.type === 'start' ? [one.task.jobId] : []));
}

describe('a new owner starts tasks beyond the cap of a team', () => {
  test('whose tasks run on an executor that has not reported', () => {
    const owner = new CappedSuccessor();
    expect(owner.submit(jobOf('b', 't1'))).toEqual([]);
    expect(owner.startsIn(2_000)).toEqual([]);
    expect(owner.reports('e2', runsOf('a'))).toEqual([]);
    expect(owner.startsIn(1_000)).toEqual([]);
  });

  test('whose job was cancelled while its tasks run on an executor that has not reported', () => {
    const owner = new CappedSuccessor();
    owner.handle({ type: 'cancelled', ids: ['a'] });
    expect(owner.submit(jobOf('b', 't1'))).toEqual([]);
  });
});

describe('tasks of a new job wait for an executor that has not reported', () => {
  test('although their team has nothing running there that is not known', () => {
    const owner = new CappedSuccessor();
    expect(owner.submit(jobOf('b', 't2'))).toHaveLength(TASKS);
  });

  test('although it has reported that it runs none of their team', () => {
    const owner = new CappedSuccessor();
    owner.submit(jobOf('b', 't1'));
    expect(owner.reports('e2', [])).toHaveLength(TASKS);
  });

  test('although its lease has ended', () => {
    const owner = new CappedSuccessor();
    owner.submit(jobOf('b', 't1'));
    expect(owner.startsIn(RECOVERY_MS + 200)).toHaveLength(TASKS);
  });
});

/** Longer than a lease. */
const CUT_MS: Millis = 5_500;
const EXECUTORS = [executor('e1'), executor('e2'), executor('e3')];

const change = fc.record({
  // The longer ones last until the next leader decides, but leases of the former one go on.
  afterMs: fc.oneof(fc.integer({ min: 0, max: 500 }), fc.integer({ min: 2_800, max: 4_800 })),
  what: fc.constantFrom(
    'change of leader',
    'change of leader beside a cut',
    'cut',
    'lapse',
    'cancel',
    'submit',
    'submit',
  ),
  which: fc.nat(20),
});

test.each([
  { runs: 500, stopMs: 0, how: 'stop tasks at once' },
  { runs: 300, stopMs: 600, how: 'take a while to stop tasks' },
])(
  'teams exceed caps when leaders change and executors are cut off and $how',
  ({ runs, stopMs }) => {
    fc.assert(
      fc.property(fc.array(change, { maxLength: 10 }), fc.nat(1e6), (changes, seed) => {
        const world = new JobWorld(EXECUTORS, seed, { cap: { ...CAP, processors: 6 }, stopMs });
        world.submit(job('first', [step({ taskCount: 6, estimateMs: 9_000 })]));
        world.run(1_000);
        world.faults = { answerLost: 0.05, late: 0.02, runFails: 0.02 };
        changes.forEach(({ afterMs, what, which }, i) => {
          world.run(afterMs);
          if (what.includes('cut')) {
            world.cutOff(`e${1 + (which % 3)}`, CUT_MS);
          }
          switch (what) {
            case 'change of leader':
            case 'change of leader beside a cut':
              world.killOwner();
              return;
            case 'cut':
              return;
            case 'lapse':
              world.lapseLease();
              return;
            case 'cancel':
              world.cancel(i === 0 ? 'first' : `j${which % i}`);
              return;
            default:
              world.submit(job(`j${i}`, [step({ taskCount: 1 + (which % 8), estimateMs: 6_000 })]));
          }
        });
        world.faults = NO_FAULTS;
        world.run(90_000);
        expect(world.violations).toEqual([]);
        const states = [...world.jobs.keys()].map((id) => world.progress.get(id)?.state);
        // `toEqual` would pass over undefined states.
        expect(states.filter((state) => state === undefined || state === 'running')).toHaveLength(
          0,
        );
      }),
      { numRuns: Number(process.env.TURMERICHOIST_RUNS ?? runs), seed: 20261207 },
    );
  },
);
