import { expect, test } from '@jest/globals';
import fc from 'fast-check';
import { RECLAIM_AFTER_MS } from '@turmerichoist/coordination';
import { MAX_WORK_MS, World, type CommitFault } from './quota-world.js';

const SEED = 72_611;
const RUNS = Number(process.env.TURMERICHOIST_RUNS ?? 1_000);
const TEAMS = { a: 3, b: 6 };
const SETTLE_MS = RECLAIM_AFTER_MS + 2 * 9_080 + 10_000;

type Action = (world: World) => void;

const holder = fc.nat({ max: 4 });
const team = fc.constantFrom('a', 'b');
const at = (world: World, index: number) => world.holders[index % world.holders.length];

/** Most work is short; some runs for the maximum time. */
const duration = fc.oneof(
  { weight: 3, arbitrary: fc.integer({ min: 10, max: 3_000 }) },
  { weight: 1, arbitrary: fc.constant(MAX_WORK_MS) },
);
const fault = fc.constantFrom<CommitFault>('lost-request', 'lost-answer', 'late', 'doubled');

const action: fc.Arbitrary<Action> = fc.oneof(
  {
    weight: 6,
    arbitrary: fc.tuple(holder, team, fc.array(duration, { minLength: 1, maxLength: 8 })).map(
      ([i, name, work]) =>
        (world: World) =>
          at(world, i)?.request(name, work),
    ),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(holder, fc.integer({ min: 100, max: 90_000 })).map(
      ([i, ms]) =>
        (world: World) =>
          at(world, i)?.pause(ms),
    ),
  },
  {
    weight: 1,
    arbitrary: holder.map((i) => (world: World) => at(world, i)?.crash()),
  },
  {
    weight: 1,
    arbitrary: holder.map((i) => (world: World) => at(world, i)?.restart()),
  },
  {
    weight: 1,
    arbitrary: holder.map((i) => (world: World) => at(world, i)?.stop()),
  },
  {
    weight: 3,
    arbitrary: fc
      .tuple(holder, fc.array(fault, { maxLength: 3 }))
      .map(([i, faults]) => (world: World) => {
        at(world, i)?.faults.push(...faults);
      }),
  },
  {
    weight: 1,
    arbitrary: fc
      .tuple(holder, fc.integer({ max: 30_000, min: 1 }))
      .map(([i, ms]) => (world: World) => {
        const cut = at(world, i);
        if (cut !== undefined) {
          cut.partitionedUntil = world.time.now + ms;
        }
      }),
  },
  {
    weight: 1,
    arbitrary: fc.integer({ min: 1, max: 30_000 }).map((ms) => (world: World) => {
      world.storeDownUntil = world.time.now + ms;
    }),
  },
  {
    weight: 2,
    arbitrary: fc.tuple(team, fc.nat({ max: 8 })).map(([name, limit]) => (world: World) => {
      world.declare(name, limit);
    }),
  },
);

const wait = fc.oneof(
  { weight: 4, arbitrary: fc.integer({ min: 1, max: 1_500 }) },
  { weight: 1, arbitrary: fc.integer({ min: 5_000, max: 75_000 }) },
);

/** Ends all faults and waits until all work under way has ended. */
function endFaults(world: World): void {
  world.storeDownUntil = 0;
  for (const each of world.holders) {
    each.faults = [];
    each.cancelWaiting();
    each.partitionedUntil = 0;
    if (each.stopping) {
      each.crash();
    }
    each.restart();
  }
  world.declare('a', 4);
  world.declare('b', 2);
  world.time.advance(90_000 + SETTLE_MS);
}

test('work never exceeds a limit under pauses, drift, crashes and lost responses, and resumes', () => {
  const script = fc.array(fc.tuple(action, wait), { minLength: 1, maxLength: 25 });
  const property = fc.property(
    fc.nat(),
    fc.integer({ min: 3, max: 5 }),
    script,
    (seed, n, steps) => {
      const world = new World(seed, n, TEAMS);
      world.time.advance(3_000);
      for (const [act, ms] of steps) {
        act(world);
        world.time.advance(ms);
      }
      endFaults(world);
      expect([...world.running.values()].every((running) => running === 0)).toBe(true);
      world.holders[0]?.request('a', Array<number>(10).fill(30_000));
      world.holders[1]?.request('b', Array<number>(10).fill(30_000));
      world.time.advance(5_000);
      expect(Object.fromEntries(world.running)).toMatchObject({ a: 4, b: 2 });
      expect(world.violations).toEqual([]);
    },
  );
  fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
}, 600_000);
