import { describe, expect, test } from '@jest/globals';
import type { JobOrdering, Millis, StepSpec } from '../src/index.js';
import { CountingOrder } from './support/counting-order.js';
import { executor, step } from './support/job-fixtures.js';
import { LARGE, type MadeReservation } from './support/full-pool-world.js';
import { reservationsOf, SchedulerFixture, startsOf } from './support/scheduler-fixture.js';

// Each test is named after the failure that it guards against.

const CAPACITY = { processors: 64, memoryMb: 64_000, accelerators: 0 };
const INFOS = ['e1', 'e2'].map((id) => executor(id, { capacity: CAPACITY, labels: [id] }));

function small(estimateMs: Millis, over: Partial<StepSpec> = {}): StepSpec {
  return step({
    resources: { processors: 4, memoryMb: 100, accelerators: 0 },
    estimateMs,
    ...over,
  });
}

const large = (over: Partial<StepSpec> = {}): StepSpec =>
  step({ resources: LARGE, estimateMs: 1_000, ...over });

/** Two executors: `e1` full of tasks of 1.8 s of job `a`, `e2` of tasks of 1 s of job `b`. */
function fullPool(smallMs: Millis = 1_000, order?: JobOrdering): SchedulerFixture {
  const pool = new SchedulerFixture(INFOS, order);
  pool.submit('a', [small(1.8 * smallMs, { taskCount: 16, requiredLabel: 'e1' })]);
  pool.submit('b', [small(smallMs, { taskCount: 16, requiredLabel: 'e2' })]);
  pool.round(0);
  return pool;
}

/** Runs a round each 100 ms, with a small task that starts on `e2`, until a reservation is made. */
function starve(
  pool: SchedulerFixture,
  forMs: Millis = 2_000,
  smallMs: Millis = 1_000,
): MadeReservation | undefined {
  for (const end = pool.now + forMs; pool.now < end;) {
    pool.submit(`s${pool.now}`, [small(smallMs)]);
    pool.end('b');
    const [made] = reservationsOf(pool.round(100));
    if (made !== undefined) {
      return made;
    }
  }
  return undefined;
}

describe('reservations', () => {
  test('a task gets one before it has waited for a mean task, or not where room is first', () => {
    const pool = fullPool();
    pool.submit('big', [large()]);
    const made = starve(pool);
    expect(made?.reservation).toMatchObject({ job: 'big', executor: 'e1', availableAt: 1_800 });
    expect(made?.waitedMs).toBeGreaterThan(made?.meanTaskMs ?? Infinity);
    expect(made?.waitedMs).toBeLessThan((made?.meanTaskMs ?? 0) + 200);
  });

  test('small tasks start on a reserved executor though they end too late, or none does', () => {
    const pool = fullPool();
    pool.submit('big', [large()]);
    starve(pool);
    const start = (id: string, estimateMs: Millis): void => {
      pool.submit(id, [small(estimateMs)], id);
      pool.end('a');
    };
    start('late', 60_000);
    expect(startsOf(pool.round(1_500 - pool.now))).toEqual([]);
    start('short', 200);
    expect(startsOf(pool.round(100))).toEqual([['short', 'e1']]);
    start('too-late', 200);
    expect(startsOf(pool.round(100))).toEqual([]);
  });

  test('a lasting task waits for a reservation to end', () => {
    const pool = fullPool();
    pool.submit('big', [large()]);
    starve(pool);
    pool.submit('service', [small(1_000, { lasting: true })]);
    pool.end('a');
    expect(startsOf(pool.round(10))).toEqual([['service', 'e1']]);
  });

  test('an executor without the label is reserved', () => {
    const pool = fullPool();
    pool.submit('big', [large({ requiredLabel: 'e2' })]);
    expect(starve(pool)?.reservation.executor).toBe('e2');
  });

  test('an executor is reserved on which the step may not run one more task', () => {
    const pool = new SchedulerFixture(INFOS);
    const half = { processors: 30, memoryMb: 100, accelerators: 0 };
    pool.submit('a', [small(1_800, { taskCount: 16, requiredLabel: 'e2' })]);
    pool.round(0);
    pool.submit('big', [step({ taskCount: 2, maxPerExecutor: 1, resources: half })]);
    pool.submit('b', [small(1_000, { taskCount: 8, requiredLabel: 'e1' })]);
    pool.round(0);
    expect(pool.runs.ofJob('big').map((run) => run.executor)).toEqual(['e1']);
    expect(starve(pool)?.reservation).toMatchObject({ job: 'big', executor: 'e2' });
  });

  test('a gang gets one executor reserved, which it can not start on alone', () => {
    const pool = fullPool();
    pool.submit('gang', [large({ taskCount: 2, gang: true })]);
    expect(starve(pool)).toBeUndefined();
  });

  test('a team above its share gets a reservation while one below its share waits', () => {
    const pool = fullPool();
    pool.submit('above', [large()]);
    pool.submit('below', [small(900, { requiredLabel: 'e1' })], 'under');
    expect(starve(pool)).toBeUndefined();
    pool.end('a');
    expect(startsOf(pool.round(10))).toEqual([['below', 'e1']]);
    expect(starve(pool)?.reservation.job).toBe('above');
  });

  test('a job without any value left gets an executor while others can still have value', () => {
    const pool = fullPool(3_000);
    // Its objective is 600 ms, so that it is worthless after 1.8 s.
    pool.submit('big', [large({ estimateMs: 0 })]);
    expect(starve(pool, 6_000, 3_000)).toBeUndefined();
  });

  test('small tasks that fit beside a large one wait for the next change', () => {
    const pool = fullPool();
    pool.submit('big', [large()]);
    starve(pool);
    pool.submit('more', [small(60_000)], 't3');
    for (let n = 0; n < 12; n += 1) {
      pool.end('a');
    }
    expect(startsOf(pool.round(10))).toEqual([['big', 'e1']]);
    expect(pool.due).toBe(true);
    expect(startsOf(pool.round(0))).toEqual([['more', 'e1']]);
  });

  // Load pattern: many waiting jobs that each need something else would fit on a reserved executor.
  test('each round ranks the first job of every group that would fit on a reserved executor', () => {
    const order = new CountingOrder();
    const pool = fullPool(1_000, order);
    pool.submit('big', [large()]);
    starve(pool);
    for (let n = 0; n < 500; n += 1) {
      const resources = { processors: 4, memoryMb: 100 + n, accelerators: 0 };
      pool.submit(`w${n}`, [step({ resources, estimateMs: 60_000 })]);
    }
    pool.end('a');
    pool.round(10);
    order.ranked = 0;
    for (let n = 0; n < 8; n += 1) {
      pool.round(10);
    }
    expect(order.ranked).toBeLessThan(50);
  });
});
