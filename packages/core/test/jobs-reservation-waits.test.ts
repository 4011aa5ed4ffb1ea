import { describe, expect, test } from '@jest/globals';
import type { Resources, TeamPolicy } from '../src/index.js';
import { executor, step } from './support/job-fixtures.js';
import { reservationsOf, SchedulerFixture } from './support/scheduler-fixture.js';
import { NO_CAP, teamOf } from './support/shared-pool.js';

// Each test is named after the failure that it guards against.

const CAPACITY = { processors: 64, memoryMb: 64_000, accelerators: 0 };
const SMALL = { processors: 4, memoryMb: 4_000, accelerators: 0 };
const LARGE = { processors: 40, memoryMb: 40_000, accelerators: 0 };

function poolOf(teams: readonly TeamPolicy[] = []): SchedulerFixture {
  const pool = new SchedulerFixture(
    ['e1', 'e2'].map((id) => executor(id, { capacity: CAPACITY, labels: [id] })),
  );
  const byName = new Map(teams.map((team) => [team.name, team]));
  pool.limits = { ...pool.limits, teams: byName };
  return pool;
}

function submit(pool: SchedulerFixture, id: string, resources: Resources, label = ''): void {
  pool.submit(id, [step({ taskCount: 16, resources, estimateMs: 1_000, requiredLabel: label })]);
}

/** Whether a large job gets a reservation while a small task starts every 100 ms. */
function getsReservation(pool: SchedulerFixture, ending: string, small = SMALL): boolean {
  pool.submit('big', [step({ resources: LARGE, estimateMs: 1_000 })]);
  for (const end = pool.now + 2_500; pool.now < end;) {
    pool.submit(`s${pool.now}`, [step({ resources: small, estimateMs: 1_000 })]);
    pool.end(ending);
    if (reservationsOf(pool.round(100)).some(({ reservation }) => reservation.job === 'big')) {
      return true;
    }
  }
  return false;
}

test('rounds go on for a large task though the pool has started nothing for a mean task', () => {
  const pool = poolOf();
  const busy = { taskCount: 16, resources: SMALL, estimateMs: 1_000 };
  pool.submit('a', [step({ ...busy, taskCount: 33 })]);
  pool.round(0);
  pool.submit('big', [step({ resources: LARGE, estimateMs: 1_000 })]);
  pool.submit('small', [step({ ...busy, taskCount: 1 })]);
  pool.end('a');
  pool.round(100);
  let rounds = 0;
  for (const end = pool.now + 60_000; pool.now < end; pool.now += 10) {
    if (pool.due) {
      rounds += 1;
      pool.round(0);
    }
  }
  expect(rounds).toBeLessThanOrEqual(13);
});

describe('a large task never gets a reservation', () => {
  test('when one executor has the processors for it and another one the memory', () => {
    const pool = poolOf();
    submit(pool, 'memory', { ...SMALL, processors: 1 }, 'e1');
    submit(pool, 'processors', { ...SMALL, memoryMb: 100 }, 'e2');
    pool.round(0);
    expect(getsReservation(pool, 'processors', { ...SMALL, memoryMb: 100 })).toBe(true);
  });

  test('while a team below its share has only a task that no executor could run', () => {
    const pool = poolOf();
    submit(pool, 'a', SMALL, 'e1');
    submit(pool, 'b', SMALL, 'e2');
    pool.round(0);
    pool.submit('impossible', [step({ resources: SMALL, requiredLabel: 'none' })], 'other');
    expect(getsReservation(pool, 'b')).toBe(true);
  });

  test('while a team below its share has reached its cap', () => {
    const pool = poolOf([{ ...teamOf('other', 1), cap: { ...NO_CAP, processors: 4 } }]);
    submit(pool, 'a', SMALL, 'e1');
    pool.submit('capped', [step({ taskCount: 8, resources: SMALL, estimateMs: 60_000 })], 'other');
    pool.round(0);
    submit(pool, 'b', SMALL, 'e2');
    pool.round(0);
    expect(getsReservation(pool, 'b')).toBe(true);
  });
});
