import { describe, expect, test } from '@jest/globals';
import {
  Job,
  LeastWorkFirst,
  ManualClock,
  TaskDurations,
  type AcceptedJob,
  type JobDecision,
  type JobId,
  type Millis,
  type RankedJob,
  type TeamName,
} from '../src/index.js';
import { executor, job, newDecider, POLICY, step } from './support/job-fixtures.js';
import { SharedPool, teamOf } from './support/shared-pool.js';
import { Successor } from './support/successor.js';

// Each test is named after the failure that it guards against.

const NOW: Millis = 100_000;
const ORDER = new LeastWorkFirst(new TaskDurations());

/** A job of this age, ranked for a team with this standing. */
function ranked(
  standing: RankedJob['standing'],
  ageMs: Millis,
  { priority = 0, lasting = false } = {},
): RankedJob {
  const accepted = { ...job('j', [step({ lasting })]), policy: { ...POLICY, priority } };
  const acceptedAt = NOW - ageMs;
  return {
    ...ORDER.rank(new Job(accepted, { acceptedAt, firstDueAt: acceptedAt }, 1), NOW),
    standing,
  };
}

/** Ages at which a job of one task of 300 ms is late, and has no value any more. */
const LATE_MS: Millis = 1_500;
const WORTHLESS_MS: Millis = 5_000;

describe('the order of service', () => {
  test.each<readonly [string, RankedJob, RankedJob]>([
    ['a lasting job waits for a share', ranked('below', 0, { lasting: true }), ranked('below', 0)],
    ['worthless work displaces other teams', ranked('reached', 0), ranked('below', WORTHLESS_MS)],
    ['a team above its share displaces late work', ranked('below', LATE_MS), ranked('reached', 0)],
    ['a team lacks whole tasks of its share', ranked('below', LATE_MS), ranked('in-reach', 0)],
    ['a part of a task is not owed', ranked('in-reach', LATE_MS), ranked('reached', 0)],
    ['priority overrides a share', ranked('below', 0, { priority: 5 }), ranked('reached', 0)],
    [
      'late work displaces work in time',
      ranked('below', 0, { priority: 5 }),
      ranked('below', LATE_MS),
    ],
    [
      'worthless work ignores shares',
      ranked('below', WORTHLESS_MS),
      ranked('reached', WORTHLESS_MS),
    ],
  ])('%s', (_, first, second) => {
    expect(ORDER.compare(first, second)).toBeLessThan(0);
    expect(ORDER.compare(second, first)).toBeGreaterThan(0);
  });
});

function jobsOf(team: TeamName, count: number, taskCount = 1): readonly AcceptedJob[] {
  return Array.from({ length: count }, (_, index) => ({
    ...job(`${team}${index}`, [step({ taskCount })]),
    team,
  }));
}

/** Number of started tasks of each team; the first letter of a job's id is its team. */
function startsByTeam(decisions: readonly JobDecision[]): Readonly<Record<TeamName, number>> {
  const counts: Record<TeamName, number> = {};
  for (const decision of decisions) {
    const team = decision.type === 'start' ? decision.task.jobId.slice(0, 1) : undefined;
    if (team !== undefined) {
      counts[team] = (counts[team] ?? 0) + 1;
    }
  }
  return counts;
}

test('a team that reaches its share in a round keeps the places of its other jobs', () => {
  const clock = new ManualClock(10_000);
  const decider = newDecider(clock);
  const now = clock.now();
  decider.handle({ type: 'executors', executors: [executor('e1')] }, now);
  const report = { executor: 'e1', startedWallMs: 1, sentAt: now, running: [], ended: [] };
  decider.handle({ type: 'report', leaseEndsAt: now + 5_000, report }, now);
  const resources = { processors: 1, memoryMb: 50, accelerators: 0 };
  const others = jobsOf('a', 8).map(({ id }) => ({
    ...job(`${id}-other`, [step({ resources })]),
    team: 'a',
  }));
  const jobs = [...jobsOf('a', 8), ...others, ...jobsOf('b', 8)].map((accepted) => ({ accepted }));
  expect(startsByTeam(decider.handle({ type: 'jobs', jobs, adopted: false }, now))).toEqual({
    a: 4,
    b: 4,
  });
});

test('work that no executor can run takes a share from others', () => {
  const pool = new SharedPool(1, 8, []);
  pool.run(500);
  const never = jobsOf('x', 1, 100).map((one) => ({
    ...one,
    spec: { ...one.spec, steps: [step({ taskCount: 100, requiredLabel: 'none' })] },
  }));
  [...never, ...jobsOf('a', 40), ...jobsOf('b', 40)].forEach((accepted) => {
    pool.submit(accepted);
  });
  pool.run(1_000);
  expect(pool.decider.teamShares('p1')?.isBelowShare('x')).toBe(true);
  expect(pool.usage).toEqual(
    new Map([
      ['a', 4],
      ['b', 4],
    ]),
  );
});

describe('a new owner', () => {
  test('gives a team its share again that it may have running unseen', () => {
    const owner = new Successor();
    owner.list('e1', 'e2');
    const adopted = jobsOf('a', 1, 8).map((accepted) => ({ accepted }));
    owner.handle({ type: 'jobs', jobs: adopted, adopted: true });
    const fresh = ['c', 'd'].map((id) => ({ accepted: { ...job(id, [step({ taskCount: 8 })]) } }));
    const jobs = fresh.map(({ accepted }, index) => ({
      accepted: { ...accepted, team: index === 0 ? 'a' : 'd' },
    }));
    owner.handle({ type: 'jobs', jobs, adopted: false });
    expect(startsByTeam(owner.report('e1'))).toEqual({ d: 8 });
  });

  test('forgets shares in the middle of a burst', () => {
    const pool = new SharedPool(3, 8, [teamOf('a', 1), teamOf('b', 3)]);
    pool.run(500);
    submitBacklog(pool, 4_000);
    pool.run(1_500);
    pool.takeOver();
    pool.run(1_500);
    expect(pool.usage).toEqual(
      new Map([
        ['a', 6],
        ['b', 18],
      ]),
    );
  });
});

test('shares stay shifted after executors were silent', () => {
  const pool = new SharedPool(3, 8, [teamOf('a', 1), teamOf('b', 3)]);
  pool.run(500);
  submitBacklog(pool, 6_000);
  pool.run(1_000);
  pool.silence('e0', 3_500);
  pool.run(4_500);
  expect(pool.usage).toEqual(
    new Map([
      ['a', 6],
      ['b', 18],
    ]),
  );
});

/** Jobs of two teams, each more than the pool can run, for a time. */
function submitBacklog(pool: SharedPool, forMs: Millis): void {
  const until = pool.now + forMs;
  let count = 0;
  const next = (id: JobId): AcceptedJob => ({
    ...job(`${id}${count}`, [step({ taskCount: 2, estimateMs: 300 })]),
    team: id,
    policy: { ...POLICY, targetLatencyMs: 1e6 },
  });
  pool.queue.every(
    20,
    () => pool.now < until,
    () => {
      count += 1;
      pool.submit(next('a'));
      pool.submit(next('b'));
    },
  );
}
