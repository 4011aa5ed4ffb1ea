import { describe, expect, test } from '@jest/globals';
import type { JobDecider } from '../src/index.js';
import {
  ManualClock,
  type JobDecision,
  type JobEvent,
  type PoolInstance,
  type PoolPolicy,
  type SchedulingConfig,
} from '../src/index.js';
import { executor, job, POLICY, step, newDecider } from './support/job-fixtures.js';

// Each test is named after the failure that it guards against.

const CAPACITY = { processors: 8, memoryMb: 8_000, accelerators: 0 };

function instance(name: string, pool: string, on?: string): PoolInstance {
  return {
    name,
    pool,
    state: 'up',
    zone: 'z1',
    rack: 'r1',
    capacity: CAPACITY,
    executor: on,
  };
}

const POOLS: readonly PoolPolicy[] = [
  { name: 'p1', standby: false },
  { name: 'p2', standby: false },
  { name: 'spare', standby: true },
];
const CONFIG: SchedulingConfig = {
  queues: new Map([['q1', POLICY]]),
  pools: new Map(POOLS.map((pool) => [pool.name, pool])),
  teams: new Map(),
};

/** A cell with one executor in `p1`, four in `p2`, and two instances in the standby pool. */
class LendingCell {
  readonly clock = new ManualClock(10_000);
  readonly decider: JobDecider;

  constructor(ordersAllowedAt = 0, poolSizes?: ReadonlyMap<string, number>) {
    this.decider = newDecider(this.clock, {
      ordersAllowedAt,
      ...(poolSizes === undefined ? {} : { poolSizes }),
    });
    this.handle({ type: 'config', config: CONFIG });
    const executors = ['a1', 'b1', 'b2', 'b3', 'b4'].map((id) =>
      executor(id, { pool: id.startsWith('a') ? 'p1' : 'p2' }),
    );
    this.handle({ type: 'executors', executors });
    this.list();
  }

  handle(event: JobEvent): readonly JobDecision[] {
    return this.decider.handle(event, this.clock.now());
  }

  list(): void {
    const instances = [
      instance('m-a1', 'p1', 'a1'),
      ...['b1', 'b2', 'b3', 'b4'].map((id) => instance(`m-${id}`, 'p2', id)),
      instance('m-s1', 'spare'),
      instance('m-s2', 'spare'),
    ];
    this.handle({ type: 'instances', instances, requestedAt: this.clock.now() });
  }

  /** Reports for every executor that it runs nothing, then returns the moves that a tick orders. */
  tick(ms: number): readonly string[] {
    this.clock.advance(ms);
    for (const { id } of this.decider.executors) {
      const sentAt = this.clock.now();
      const report = { executor: id, startedWallMs: 1, sentAt, running: [], ended: [] };
      this.handle({ type: 'report', leaseEndsAt: sentAt + 5_000, report });
    }
    return this.handle({ type: 'tick' }).flatMap((decision) =>
      decision.type === 'order' && decision.order.type === 'move'
        ? [`${decision.order.instance} to ${decision.order.pool}`]
        : [],
    );
  }

  submit(tasks: number): void {
    const accepted = job('j', [step({ taskCount: tasks })]);
    this.handle({ type: 'jobs', jobs: [{ accepted }], adopted: false });
  }
}

describe('a pool that needs several times its capacity', () => {
  test('waits although the standby pool has instances', () => {
    const cell = new LendingCell();
    cell.tick(100);
    cell.submit(8 + 12);
    expect(cell.tick(0)).toEqual(['m-s1 to p1', 'm-s2 to p1']);
  });

  test('waits although another pool has been idle for a second', () => {
    const cell = new LendingCell();
    cell.tick(100);
    cell.tick(1_000);
    cell.submit(8 + 28);
    const moves = cell.tick(100);
    expect(moves).toHaveLength(3);
    expect(moves.filter((move) => move.startsWith('m-b'))).toHaveLength(1);
  });

  test('gets an instance for tasks that fill less than half of it', () => {
    const cell = new LendingCell();
    cell.tick(100);
    cell.submit(8 + 3);
    expect(cell.tick(0)).toEqual([]);
  });

  test('gets more instances for the same tasks while the first ones are being moved', () => {
    const cell = new LendingCell();
    cell.tick(100);
    cell.submit(8 + 12);
    cell.tick(0);
    expect(cell.tick(100)).toEqual([]);
  });

  test('gets instances while orders of the previous owner may still be in flight', () => {
    const cell = new LendingCell(13_000);
    cell.tick(100);
    cell.submit(8 + 12);
    expect(cell.tick(1_000)).toEqual([]);
    expect(cell.tick(2_000)).toHaveLength(2);
  });
});

test('instances that a previous owner has lent are never returned to the standby pool', () => {
  const sizes = new Map([
    ['p1', 1],
    ['p2', 3],
    ['spare', 3],
  ]);
  const cell = new LendingCell(0, sizes);
  cell.tick(100);
  expect(cell.tick(4_800)).toEqual([]);
  expect(cell.tick(400)).toEqual(['m-b1 to spare']);
});
