import { describe, expect, test } from '@jest/globals';
import type { AcceptedJob, Millis, TeamName } from '../src/index.js';
import { job, POLICY, step } from './support/job-fixtures.js';
import { SharedPool, teamOf } from './support/shared-pool.js';

// Load patterns on a virtual clock. Each test is named after the failure that it guards against.

const SAMPLE_MS: Millis = 50;

interface JobSize {
  readonly tasks: number;
  readonly processors: number;
  readonly durationMs: Millis;
}

/** Submits jobs of one size for a team, `everyMs` apart, while `isActive`. */
function submitEvery(
  pool: SharedPool,
  team: TeamName,
  everyMs: Millis,
  { tasks, processors, durationMs }: JobSize,
  isActive: () => boolean = () => true,
): AcceptedJob[] {
  const submitted: AcceptedJob[] = [];
  const resources = { processors, memoryMb: 100, accelerators: 0 };
  const steps = [step({ taskCount: tasks, resources, estimateMs: durationMs })];
  let count = 0;
  pool.queue.every(
    everyMs,
    () => true,
    () => {
      if (isActive()) {
        const accepted = { ...job(`${team}-${everyMs}-${count}`, steps), team };
        submitted.push({ ...accepted, acceptedWallMs: pool.clock.wall() });
        pool.submit(accepted);
        count += 1;
      }
    },
  );
  return submitted;
}

/** Mean processors that run tasks, by team, over a time. */
function meanUsage(pool: SharedPool, forMs: Millis): ReadonlyMap<TeamName, number> {
  const sums = new Map<TeamName, number>();
  for (let passed = 0; passed < forMs; passed += SAMPLE_MS) {
    pool.run(SAMPLE_MS);
    pool.usage.forEach((usage, team) => sums.set(team, (sums.get(team) ?? 0) + usage));
  }
  return new Map([...sums].map(([team, sum]) => [team, (sum * SAMPLE_MS) / forMs]));
}

test('a team with many small jobs takes a full pool from one with few large jobs', () => {
  const pool = new SharedPool(3, 32, [teamOf('small', 1), teamOf('large', 1)]);
  submitEvery(pool, 'small', 40, { tasks: 2, processors: 4, durationMs: 800 });
  submitEvery(pool, 'large', 250, { tasks: 8, processors: 4, durationMs: 1_000 });
  pool.run(3_000);
  const usage = meanUsage(pool, 10_000);
  expect(usage.get('large')).toBeGreaterThan(0.45 * 96);
  expect(usage.get('small')).toBeGreaterThan(0.45 * 96);
});

test('teams of low weight among 20 get less than their share of a full pool', () => {
  const weights = Array.from({ length: 20 }, (_, index) => 1 / (index + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const pool = new SharedPool(
    8,
    32,
    weights.map((weight, index) => teamOf(`t${index}`, weight)),
  );
  weights.forEach((_, index) => {
    submitEvery(pool, `t${index}`, 60 + index, { tasks: 4, processors: 1, durationMs: 1_500 });
  });
  pool.run(3_000);
  const usage = meanUsage(pool, 8_000);
  const served = weights.map((weight, index) => {
    return (usage.get(`t${index}`) ?? 0) / ((weight / total) * 256);
  });
  expect(Math.min(...served)).toBeGreaterThan(0.8);
  expect([...usage.values()].reduce((sum, one) => sum + one, 0)).toBeGreaterThan(0.98 * 256);
});

const BURST_MS: Millis = 6_500;
const BURST_FACTOR = 7.5;
const USUAL_MS: Millis = 240;
const TEAMS = ['a', 'b', 'c', 'd', 'e', 'f'];
/** Jobs of each burst need as much as `BURST_FACTOR` times the usual jobs of a team. */
const BURST_SIZES: readonly (JobSize & { readonly everyMs: Millis })[] = [
  { tasks: 4, processors: 2, durationMs: 400, everyMs: USUAL_MS / BURST_FACTOR },
  { tasks: 1, processors: 2, durationMs: 100, everyMs: USUAL_MS / BURST_FACTOR / 16 },
  { tasks: 32, processors: 2, durationMs: 400, everyMs: (USUAL_MS / BURST_FACTOR) * 8 },
];

/** Share of the jobs in time of all teams but the first, which has a burst if `size` is given. */
function othersInTime(size?: JobSize & { readonly everyMs: Millis }): number {
  const pool = new SharedPool(
    4,
    32,
    TEAMS.map((name) => teamOf(name, 1)),
  );
  const usual = { tasks: 4, processors: 2, durationMs: 400 };
  const arrivesUntil = pool.now + 2_000 + BURST_MS;
  const arrives = (): boolean => pool.now < arrivesUntil;
  const others = TEAMS.slice(1).map((team, index) =>
    submitEvery(pool, team, USUAL_MS + index, usual, arrives),
  );
  submitEvery(pool, 'a', USUAL_MS + 7, usual, arrives);
  pool.run(2_000);
  if (size !== undefined) {
    submitEvery(pool, 'a', size.everyMs, size, arrives);
  }
  pool.run(BURST_MS + 6_000);
  const jobs = others.flat();
  const objectiveMs = POLICY.slackFactor * usual.durationMs + POLICY.targetLatencyMs;
  const inTime = jobs.filter(({ id, acceptedWallMs }) => {
    return (pool.completedAt.get(id) ?? Infinity) - acceptedWallMs <= objectiveMs;
  });
  return inTime.length / jobs.length;
}

describe('a team at 7.5 times its usual demand makes jobs of other teams late', () => {
  const usual = othersInTime();
  test.each(BURST_SIZES)('with jobs of $tasks tasks', (size) => {
    expect(othersInTime(size)).toBeGreaterThanOrEqual(usual - 0.02);
  });
});
