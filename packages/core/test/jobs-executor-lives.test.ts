import { describe, expect, test } from '@jest/globals';
import { ManualClock, type JobDecision, type JobEvent, type ReportedEnd } from '../src/index.js';
import { executor, job, step, newDecider } from './support/job-fixtures.js';

const TASK = { jobId: 'a', occurrence: 0, step: 0, index: 0 } as const;
const START = { type: 'start', task: TASK };

/** A cell with the executor `e1` and the job `a` of one task, which has been ordered to start. */
class OneTaskCell {
  readonly decider = newDecider(new ManualClock(1_000));

  constructor() {
    this.list(1, 1_000);
    this.look(1_000);
    const accepted = job('a', [step()]);
    this.tell({ type: 'jobs', jobs: [{ accepted }], adopted: false }, 1_000);
  }

  tell(event: JobEvent, now: number): readonly JobDecision[] {
    return this.decider.handle(event, now);
  }

  /** The platform lists the executor with this start time. */
  list(bornWallMs: number, now: number): readonly JobDecision[] {
    return this.tell({ type: 'executors', executors: [executor('e1', { bornWallMs })] }, now);
  }

  look(now: number, ended: readonly ReportedEnd[] = [], bornWallMs = 1): readonly JobDecision[] {
    const report = { executor: 'e1', bornWallMs, sentAt: now, running: [], ended };
    return this.tell({ type: 'report', leaseEndsAt: now + 1_000, report }, now);
  }

  started(now: number): void {
    const answer = { task: TASK, attempt: 1, executor: 'e1', outcome: 'started' } as const;
    this.tell({ type: 'start-answer', ...answer }, now);
  }
}

describe('an executor that was cut off', () => {
  test('a task that it had done is started again once its end is known', () => {
    const cell = new OneTaskCell();
    cell.started(1_010);
    // Its lease ends before it can be reached again.
    cell.tell({ type: 'tick' }, 3_000);
    const end = { seq: 1, task: TASK, attempt: 1, how: 'done', checkpoint: '' } as const;
    const decisions = cell.look(3_100, [end]);
    expect(decisions).not.toContainEqual(expect.objectContaining(START));
    expect(decisions).toContainEqual(
      expect.objectContaining({ progress: expect.objectContaining({ state: 'completed' }) }),
    );
  });
});

describe('an executor that did not answer', () => {
  test('gets more tasks, which all wait until its lease has ended', () => {
    const cell = new OneTaskCell();
    const answer = { task: TASK, attempt: 1, executor: 'e1', outcome: 'unknown' } as const;
    cell.tell({ type: 'start-answer', ...answer }, 1_450);
    const more: JobEvent = {
      type: 'jobs',
      jobs: [{ accepted: job('b', [step()]) }],
      adopted: false,
    };
    expect(cell.tell(more, 1_460).filter(({ type }) => type === 'start')).toEqual([]);
    const second = { type: 'start', task: { ...TASK, jobId: 'b' } };
    expect(cell.look(1_470)).toContainEqual(expect.objectContaining(second));
  });
});

test('a run that is not wanted is ordered to stop again with every look', () => {
  const cell = new OneTaskCell();
  const running = [{ task: TASK, attempt: 9, checkpoint: '', percent: 0, gauge: 0 }];
  const stops = (now: number): number => {
    const report = { executor: 'e1', bornWallMs: 1, sentAt: now, running, ended: [] };
    const decisions = cell.tell({ type: 'report', leaseEndsAt: 9_000, report }, now);
    return decisions.filter(({ type }) => type === 'stop').length;
  };
  expect([stops(1_010), stops(1_020), stops(1_300), stops(1_700)]).toEqual([1, 0, 0, 1]);
});

describe('an owner that stood still', () => {
  test('starts tasks again before it has heard of the looks that extended their leases', () => {
    const cell = new OneTaskCell();
    cell.started(1_010);
    cell.tell({ type: 'tick' }, 1_100);
    const afterwards = [
      ...cell.tell({ type: 'tick' }, 9_000),
      ...cell.tell({ type: 'tick' }, 9_100),
      ...cell.tell({ type: 'silent', executor: 'e1', leaseEndsAt: 11_500 }, 9_700),
      ...cell.tell({ type: 'tick' }, 9_900),
    ];
    expect(afterwards.filter(({ type }) => type === 'start')).toEqual([]);
    expect(cell.decider.executors).toHaveLength(1);
    for (let now = 10_800; now < 11_500; now += 100) {
      cell.tell({ type: 'tick' }, now);
    }
    cell.tell({ type: 'tick' }, 11_500);
    expect(cell.look(11_600)).toContainEqual(expect.objectContaining(START));
  });
});

describe('looks at an executor that overtake each other', () => {
  test('a task starts again because an older list, asked for later, does not show it', () => {
    const cell = new OneTaskCell();
    const running = [{ task: TASK, attempt: 1, checkpoint: '', percent: 0, gauge: 0 }];
    // The first look waited for an end and was answered last by the executor, but arrives first.
    const waited = { executor: 'e1', bornWallMs: 1, sentAt: 1_005, running, ended: [] };
    cell.tell({ type: 'report', leaseEndsAt: 9_000, report: waited }, 1_040);
    const short = { ...waited, sentAt: 1_010, running: [] };
    const decisions = cell.tell({ type: 'report', leaseEndsAt: 9_000, report: short }, 1_045);
    expect(decisions.filter(({ type }) => type === 'start')).toEqual([]);
  });
});

describe('an executor that began a new life', () => {
  test('its task starts elsewhere whenever a list that is behind shows its old life', () => {
    const cell = new OneTaskCell();
    cell.started(1_010);
    cell.look(1_200, [], 2);
    const answer = { task: TASK, attempt: 2, executor: 'e1', outcome: 'started' } as const;
    cell.tell({ type: 'start-answer', ...answer }, 1_210);
    const executors = [executor('e1', { bornWallMs: 1 }), executor('e2')];
    const report = { executor: 'e2', bornWallMs: 1, sentAt: 1_310, running: [], ended: [] };
    const decisions = [
      ...cell.tell({ type: 'executors', executors }, 1_300),
      ...cell.tell({ type: 'report', leaseEndsAt: 9_000, report }, 1_310),
    ];
    expect(decisions.filter(({ type }) => type === 'start' || type === 'stop')).toEqual([]);
  });

  test('a task starts elsewhere before an order that may reach the new life is ruled out', () => {
    const cell = new OneTaskCell();
    const reborn = cell.look(1_200, [], 2);
    expect(reborn).toContainEqual(expect.objectContaining({ type: 'stop', task: TASK }));
    expect(reborn).not.toContainEqual(expect.objectContaining(START));
    const stop = { task: TASK, attempt: 1, executor: 'e1', answered: true } as const;
    cell.tell({ type: 'stop-answer', ...stop }, 1_210);
    expect(cell.look(1_220, [], 2)).toContainEqual(expect.objectContaining(START));
  });

  test('a task waits for ever for a new life that never answers', () => {
    const cell = new OneTaskCell();
    cell.list(2, 1_200);
    cell.tell({ type: 'executors', executors: [executor('e2')] }, 1_300);
    const report = { executor: 'e2', bornWallMs: 1, sentAt: 1_300, running: [], ended: [] };
    cell.tell({ type: 'report', leaseEndsAt: 9_000, report }, 1_300);
    const decisions = cell.tell({ type: 'tick' }, 2_100);
    expect(decisions).toContainEqual(expect.objectContaining({ ...START, executor: 'e2' }));
  });
});
