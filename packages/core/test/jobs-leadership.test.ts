import { describe, expect, test } from '@jest/globals';
import {
  ManualClock,
  type JobDecision,
  type JobEvent,
  type ReportedRun,
  type StartOutcome,
} from '../src/index.js';
import { executor, job, step, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const TASK = { jobId: 'a', occurrence: 0, step: 0, index: 0 } as const;
const WAVE = { number: 1, instances: ['i1'], maxParallel: 1, begun: [], completed: false };
const INSTANCE = {
  name: 'i1',
  pool: 'p1',
  state: 'up',
  zone: 'z1',
  rack: 'r1',
  capacity: { processors: 8, memoryMb: 8_000, accelerators: 0 },
  executor: 'e1',
} as const;

/** A leader with the executor `e1`, which answers starts with `answer`. */
class Leader {
  readonly decider = newDecider(new ManualClock(1_000));
  answer: StartOutcome = 'started';
  readonly acts: JobDecision['type'][] = [];

  constructor() {
    this.handle({ type: 'executors', executors: [executor('e1')] }, 1_000);
    this.report(1_000);
  }

  handle(event: JobEvent, now: number): readonly JobDecision[] {
    const decisions = this.decider.handle(event, now);
    decisions.forEach((decision) => {
      if (['start', 'stop', 'pace', 'order'].includes(decision.type)) {
        this.acts.push(decision.type);
      }
      if (decision.type === 'start' && this.acts.length < 1_000) {
        const { task, attempt, executor } = decision;
        this.handle({ type: 'start-answer', task, attempt, executor, outcome: this.answer }, now);
      }
    });
    return decisions;
  }

  submit(id: string, now: number): void {
    const accepted = job(id, [step()]);
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false }, now);
  }

  report(now: number, running: readonly ReportedRun[] = []): void {
    const report = { executor: 'e1', startedWallMs: 1, sentAt: now, running, ended: [] };
    this.handle({ type: 'report', leaseEndsAt: now + 4_500, report }, now);
  }

  ticks(from: number, to: number): void {
    for (let now = from; now <= to; now += 100) {
      this.handle({ type: 'tick' }, now);
    }
  }

  takeActs(): readonly JobDecision['type'][] {
    return this.acts.splice(0);
  }
}

describe('a leader whose lease has lapsed', () => {
  test('starts or stops tasks that its successor decides on', () => {
    const leader = new Leader();
    leader.submit('a', 1_000);
    leader.takeActs();
    leader.handle({ type: 'leadership', held: false }, 1_100);
    leader.submit('b', 1_110);
    leader.handle({ type: 'cancelled', ids: ['a'] }, 1_120);
    leader.report(1_200, [{ task: TASK, attempt: 1, checkpoint: '', percent: 5, gauge: 0 }]);
    const untracked = { task: { ...TASK, jobId: 'x' }, attempt: 1, checkpoint: '', gauge: 0 };
    leader.report(1_300, [{ ...untracked, percent: 5 }]);
    leader.ticks(1_400, 3_000);
    expect(leader.takeActs()).toEqual([]);
  });

  test('orders the maintenance of instances', () => {
    const leader = new Leader();
    leader.handle({ type: 'leadership', held: false }, 1_100);
    leader.handle({ type: 'waves', waves: [WAVE] }, 1_300);
    leader.handle({ type: 'instances', instances: [INSTANCE], requestedAt: 1_300 }, 1_310);
    leader.ticks(1_400, 2_000);
    expect(leader.takeActs()).toEqual([]);
    leader.handle({ type: 'leadership', held: true }, 2_050);
    leader.report(2_060);
    leader.ticks(2_100, 3_000);
    expect(leader.takeActs()).toEqual(['order']);
  });

  test('answers each start as not sent, which starts the task again in a busy loop', () => {
    const leader = new Leader();
    leader.answer = 'not-sent';
    leader.handle({ type: 'leadership', held: false }, 1_010);
    leader.submit('a', 1_020);
    leader.ticks(1_100, 3_000);
    expect(leader.takeActs()).toEqual([]);
  });

  test('leaves tasks waiting and cancelled tasks running once its renewal has succeeded', () => {
    const leader = new Leader();
    leader.submit('a', 1_000);
    leader.takeActs();
    leader.handle({ type: 'leadership', held: false }, 1_100);
    leader.submit('b', 1_110);
    leader.handle({ type: 'cancelled', ids: ['a'] }, 1_120);
    leader.ticks(1_200, 2_000);
    leader.handle({ type: 'leadership', held: true }, 2_050);
    leader.ticks(2_100, 2_200);
    expect([...leader.takeActs()].sort()).toEqual(['start', 'stop']);
  });
});

test('rounds follow each other without end because a lapsed leader runs none of them', () => {
  const leader = new Leader();
  leader.handle({ type: 'leadership', held: false }, 1_010);
  leader.submit('a', 1_020);
  expect(leader.decider.needsRound(1_020)).toBe(false);
  leader.handle({ type: 'leadership', held: true }, 1_030);
  expect(leader.acts).toEqual(['start']);
});
