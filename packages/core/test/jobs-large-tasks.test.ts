import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import { RESERVATION_TIMEOUT_MS, RESERVED_SHARE, REVIEW_PERIOD_MS } from '../src/index.js';
import { FullPoolWorld } from './support/full-pool-world.js';
import { POLL_PERIOD_MS, TICK_MS } from './support/job-world-settings.js';

// Each test is named after the failure that it guards against.

/** From a change at the executors to the end of the reservations that it concerns. */
const NOTICE_MS = 2 * REVIEW_PERIOD_MS;
/** An executor that is silent counts as such after this time. */
const SILENCE_MS = 2_500 + POLL_PERIOD_MS + NOTICE_MS;

describe('room for large tasks', () => {
  test('tasks of 40 of 64 processors start only when the stream of small tasks has ended', () => {
    const pool = new FullPoolWorld(4, 1);
    pool.run(2_000);
    ['large1', 'large2', 'large3'].forEach((id) => {
      pool.submitLarge(id);
    });
    pool.run(8_000);
    expect(pool.largeSince.size).toBe(3);
    expect(pool.world.violations).toEqual([]);
  });

  test('large tasks wait for a rack that is lost with all reservations', () => {
    const pool = new FullPoolWorld(20, 2);
    pool.run(2_000);
    pool.submitLarge('large1', { requiredLabel: 'r0' });
    pool.submitLarge('large2', { requiredLabel: 'r0', maxPerExecutor: 1 });
    expect(pool.runUntil(() => pool.active.size === 2, 3_000)).toBe(true);
    for (let n = 0; n < 20; n += 2) {
      pool.world.cutOff(`e${n}`, 3_500);
    }
    pool.submitLarge('large3');
    pool.run(SILENCE_MS);
    const reasons = pool.ended.slice(0, 2).map(({ reason }) => reason);
    expect(reasons).toEqual(['executor-silent', 'executor-silent']);
    expect([...pool.largeSince.keys()]).toEqual(['large3']);
    pool.run(6_000);
    expect(pool.largeSince.size).toBe(3);
    expect(pool.world.violations).toEqual([]);
  });

  test('an executor stays reserved for a team whose cap has been lowered', () => {
    const pool = new FullPoolWorld(10, 3);
    // Half of the lowered cap; below that, the team may exceed it by one task. A lasting task does
    // not count towards the shares of the pool, which would keep the large one back.
    const half = { processors: 20, memoryMb: 100, accelerators: 0 };
    pool.submitLarge('half', { resources: half, estimateMs: 60_000, lasting: true });
    pool.run(2_000);
    pool.submitLarge('large1');
    expect(pool.runUntil(() => pool.active.size === 1, 3_000)).toBe(true);
    pool.capBig(40);
    pool.run(NOTICE_MS);
    expect(pool.ended.map(({ reason }) => reason)).toEqual(['over-cap']);
    pool.run(5_000);
    expect(pool.active.size).toBe(0);
    expect(pool.largeSince.size).toBe(0);
    pool.capBig(60);
    pool.run(4_000);
    expect(pool.largeSince.size).toBe(1);
  });

  test('a large task whose reservation is lost in a takeover waits until the stream ends', () => {
    const pool = new FullPoolWorld(10, 4);
    pool.run(2_000);
    pool.submitLarge('large1');
    expect(pool.runUntil(() => pool.active.size === 1, 3_000)).toBe(true);
    pool.killOwner();
    // 2.8 s until the next owner, then its recovery.
    pool.run(14_000);
    expect(pool.made.length).toBeGreaterThan(1);
    expect(pool.largeSince.size).toBe(1);
    expect(pool.world.violations).toEqual([]);
  });

  test('a cancelled job keeps its reservation', () => {
    const pool = new FullPoolWorld(10, 5);
    pool.run(2_000);
    pool.submitLarge('large1');
    expect(pool.runUntil(() => pool.active.size === 1, 3_000)).toBe(true);
    pool.world.cancel('large1');
    pool.run(NOTICE_MS);
    expect(pool.ended.map(({ reason }) => reason)).toEqual(['job-ended']);
  });
});

const action = fc.record({
  afterMs: fc.integer({ min: 0, max: 1_500 }),
  what: fc.oneof(
    { weight: 3, arbitrary: fc.constant('large') },
    { weight: 2, arbitrary: fc.constantFrom('cancel', 'kill', 'cut-off', 'restart', 'cap') },
  ),
  draw: fc.nat(1_000),
});

function apply(pool: FullPoolWorld, what: string, draw: number): void {
  const executor = `e${draw % pool.world.executors.size}`;
  switch (what) {
    case 'cancel':
      pool.world.cancel(`large${draw % 10}`);
      return;
    case 'kill':
      pool.killOwner();
      return;
    case 'cut-off':
      pool.world.cutOff(executor, 2_000 + draw);
      return;
    case 'restart':
      pool.world.restart(executor);
      return;
    case 'cap':
      pool.capBig(draw % 100);
      return;
    default:
      pool.submitLarge(`large${draw % 10}`, draw % 3 === 0 ? { requiredLabel: 'r1' } : {});
  }
}

test('reservations keep capacity idle for longer than their bound, or too much of a pool', () => {
  const bound = RESERVATION_TIMEOUT_MS + REVIEW_PERIOD_MS + TICK_MS;
  let made = 0;
  fc.assert(
    fc.property(
      fc.array(action, { maxLength: 12 }),
      fc.integer({ min: 1, max: 30 }),
      fc.nat(1e6),
      (actions, executors, seed) => {
        const pool = new FullPoolWorld(executors, seed);
        pool.world.faults = { answerLost: 0.05, late: 0.03, runFails: 0.05 };
        const limit = Math.max(1, Math.floor(executors * RESERVED_SHARE));
        const faults: string[] = [];
        pool.onHandled = () => {
          const held = [...pool.active.values()].map(({ reservation }) => reservation);
          const overdue = held.some(({ madeAt }) => pool.world.now - madeAt > bound);
          const jobs = new Set(held.map(({ job }) => job));
          if (overdue || held.length > limit || jobs.size < held.length) {
            faults.push(`${held.length} reservations at ${pool.world.now}`);
          }
        };
        pool.run(1_500);
        for (const { afterMs, what, draw } of actions) {
          pool.run(afterMs);
          apply(pool, what, draw);
        }
        pool.run(6_000);
        made += pool.made.length;
        expect(faults).toEqual([]);
        expect(pool.world.violations).toEqual([]);
      },
    ),
    { numRuns: 25, seed: 20261207 },
  );
  expect(made).toBeGreaterThan(50);
});
