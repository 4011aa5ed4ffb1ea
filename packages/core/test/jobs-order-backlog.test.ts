import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  OrderBacklog,
  type JobDecision,
  type StartOrder,
  type StartOutcome,
} from '../src/index.js';
import { executor, job, newDecider, step } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const order = (index: number, attempt = 1): StartOrder => ({
  task: { jobId: 'a', occurrence: 0, step: 0, index },
  attempt,
  payload: '',
  checkpoint: '',
});

function addStart(backlog: OrderBacklog, index: number): boolean {
  return backlog.addStart({ order: order(index), since: 0, process: 0 });
}

describe('the backlog of an executor', () => {
  test('sends starts before the stops that make room for them, or paces before both', () => {
    const backlog = new OrderBacklog();
    backlog.addPace({ ...order(0), percent: 50 });
    addStart(backlog, 1);
    addStart(backlog, 2);
    backlog.addStop(order(3));
    const types = Array.from({ length: 5 }, () => backlog.take()?.type);
    expect(types).toEqual(['stop', 'start', 'start', 'pace', undefined]);
  });

  test('sends a start after it was withdrawn, or withdraws that of another attempt', () => {
    const backlog = new OrderBacklog();
    addStart(backlog, 1);
    expect(backlog.withdrawStart(order(1, 2))).toBe(false);
    expect(backlog.withdrawStart(order(1))).toBe(true);
    expect(backlog.withdrawStart(order(1))).toBe(false);
    expect(backlog.take()).toBeUndefined();
  });

  test('sends a stop as often as it is repeated while it waits', () => {
    const backlog = new OrderBacklog();
    expect([order(1), order(1), order(1)].map((one) => backlog.addStop(one))).toEqual([
      true,
      false,
      false,
    ]);
    expect(backlog.size).toBe(1);
  });

  test('sends paces that a later one replaces', () => {
    const backlog = new OrderBacklog();
    [80, 60, 40].forEach((percent) => backlog.addPace({ ...order(0), percent }));
    expect(backlog.take()).toMatchObject({ type: 'pace', order: { percent: 40 } });
    expect(backlog.size).toBe(0);
  });

  test('grows without limit with the orders for an executor that does not answer', () => {
    const backlog = new OrderBacklog();
    let turnedAway = 0;
    for (let index = 0; index < 100_000; index += 1) {
      turnedAway += addStart(backlog, index) ? 0 : 1;
      backlog.addStop(order(index, 2));
      backlog.addPace({ ...order(index, 3), percent: 10 });
    }
    expect(backlog.size).toBeLessThanOrEqual(3_000);
    expect(turnedAway).toBeGreaterThan(90_000);
    expect(backlog.removeStarts()).toHaveLength(100_000 - turnedAway);
  });
});

describe('a start that was withdrawn', () => {
  function outcomeOf(outcome: StartOutcome): readonly JobDecision[] {
    const clock = new ManualClock(1_000);
    const decider = newDecider(clock);
    const handle = (event: Parameters<typeof decider.handle>[0]): readonly JobDecision[] =>
      decider.handle(event, clock.now());
    handle({ type: 'executors', executors: [executor('e1')] });
    const report = {
      executor: 'e1',
      startedWallMs: 1,
      sentAt: clock.now(),
      running: [],
      ended: [],
    };
    handle({ type: 'report', leaseEndsAt: 9_000, report });
    const wide = step({ taskCount: 8 });
    const started = handle({
      type: 'jobs',
      jobs: [{ accepted: job('a', [wide]) }],
      adopted: false,
    });
    handle({ type: 'cancelled', ids: ['a'] });
    started.forEach((decision) => {
      if (decision.type === 'start') {
        const { task, attempt } = decision;
        handle({ type: 'start-answer', task, attempt, executor: 'e1', outcome });
      }
    });
    clock.advance(10);
    return handle({ type: 'jobs', jobs: [{ accepted: job('b', [wide]) }], adopted: false });
  }

  test('keeps the room that it was to take, or its executor from getting other tasks', () => {
    const starts = outcomeOf('withdrawn').filter(({ type }) => type === 'start');
    expect(starts).toHaveLength(8);
  });
});
