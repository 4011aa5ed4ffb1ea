import { expect, test } from '@jest/globals';
import { LeastWorkFirst, TaskDurations, type Millis, type TeamName } from '../src/index.js';
import { executor, step } from './support/job-fixtures.js';
import { SchedulerFixture, startsOf } from './support/scheduler-fixture.js';
import { teamOf } from './support/shared-pool.js';

// Each test is named after the failure that it guards against.

const TASK = { processors: 1, memoryMb: 100, accelerators: 0 };
const TASK_MS: Millis = 100;

/** One executor and teams of weight 1. */
function poolOf(processors: number, teams: readonly TeamName[]): SchedulerFixture {
  const capacity = { processors, memoryMb: 64_000, accelerators: 0 };
  const order = new LeastWorkFirst(new TaskDurations());
  const pool = new SchedulerFixture([executor('e1', { capacity })], order);
  pool.limits = { ...pool.limits, teams: new Map(teams.map((name) => [name, teamOf(name, 1)])) };
  return pool;
}

function submitJobs(pool: SchedulerFixture, team: TeamName, jobs: number, taskCount: number): void {
  for (let n = 0; n < jobs; n += 1) {
    pool.submit(`${team}-${n}`, [step({ resources: TASK, estimateMs: TASK_MS, taskCount })], team);
  }
}

/** Runs rounds, after each of which `ends` runs end; returns the starts in each round by team. */
function run(pool: SchedulerFixture, rounds: number, everyMs: Millis, ends: number): number[][] {
  const teams = [...pool.limits.teams.keys()];
  const counts = new Map(teams.map((team) => [team, Array.from({ length: rounds }, () => 0)]));
  for (let round = 0; round < rounds; round += 1) {
    for (const [id] of startsOf(pool.round(everyMs))) {
      const starts = counts.get(id.split('-')[0] ?? '') ?? [];
      starts[round] = (starts[round] ?? 0) + 1;
    }
    pool.runs
      .at('e1')
      .slice(0, ends)
      .forEach(({ task }) => {
        pool.end(task.jobId);
      });
  }
  return [...counts.values()];
}

// Where all tasks end before a round, both teams are below their share in each of them.
test.each([16, 32])(
  'a team with jobs of %d tasks gets all of an executor whose tasks end together',
  (taskCount) => {
    const pool = poolOf(16, ['a', 'b']);
    submitJobs(pool, 'a', 200, taskCount);
    submitJobs(pool, 'b', 1, 400);
    const [, b = []] = run(pool, 8, TASK_MS, 16);
    const twoWaves = b.slice(1).map((starts, index) => starts + (b[index] ?? 0));
    // A team has its share within the time of a task.
    expect(Math.min(...twoWaves)).toBeGreaterThanOrEqual(8);
  },
);

test('a team whose share is half a task never runs while others have less work per job', () => {
  const teams = Array.from({ length: 8 }, (_, n) => `t${n}`);
  const pool = poolOf(4, teams);
  teams.forEach((team, n) => {
    submitJobs(pool, team, 60, 1 + Math.floor(n / 4));
  });
  const totals = run(pool, 100, TASK_MS / 4, 1).map((starts) =>
    starts.reduce((sum, one) => sum + one, 0),
  );
  expect(Math.min(...totals)).toBeGreaterThanOrEqual(0.6 * (100 / 8));
});

test('each round looks at teams whose runs have all ended', () => {
  const teams = Array.from({ length: 8 }, (_, n) => `t${n}`);
  const pool = poolOf(8, teams);
  teams.forEach((team) => {
    submitJobs(pool, team, 1, 1);
  });
  run(pool, 1, TASK_MS, 7);
  expect([...pool.runs.finiteUsage('p1').keys()]).toEqual(['t7']);
});
