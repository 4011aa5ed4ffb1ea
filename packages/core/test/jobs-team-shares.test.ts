import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  effectiveWeight,
  MIN_TEAM_WEIGHT,
  TeamShares,
  waterFill,
  type Millis,
  type Resources,
  type TeamName,
  type TeamPolicy,
} from '../src/index.js';
import { job, POLICY, step } from './support/job-fixtures.js';
import { NO_CAP, SharedPool, teamOf } from './support/shared-pool.js';

// Each test is named after the failure that it guards against.

const NONE: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

function processors(count: number, memoryMb = count): Resources {
  return { processors: count, memoryMb, accelerators: 0 };
}

interface TeamInput {
  readonly weight?: number;
  readonly running?: Resources;
  readonly useful?: Resources;
  readonly worthless?: Resources;
  readonly cap?: Resources;
}

const CAPACITY = processors(100);

function sharesOf(teams: Readonly<Record<TeamName, TeamInput>>): TeamShares {
  const usage = (team: TeamName): Resources => teams[team]?.running ?? NONE;
  return new TeamShares(
    {
      capacity: CAPACITY,
      users: Object.keys(teams),
      usage,
      waiting: () =>
        new Map(
          Object.entries(teams).map(([team, { useful = NONE, worthless = NONE }]) => [
            team,
            { useful, worthless },
          ]),
        ),
      teams: new Map(
        Object.entries(teams).flatMap(([name, { weight, cap = NO_CAP }]) =>
          weight === undefined ? [] : [[name, { name, weight, cap }]],
        ),
      ),
      chargedToCap: usage,
    },
    0,
  );
}

/** Share of a team as a fraction of the pool, or undefined if it is not below it. */
function shareOf(team: TeamName, teams: Readonly<Record<TeamName, TeamInput>>): number | undefined {
  return sharesOf(teams)
    .teamsBelow(0)
    .find((one) => one.team === team)?.share;
}

const ALL = processors(1_000);

describe('the share of a team', () => {
  test('ignores its weight, or differs for equal weights', () => {
    expect(shareOf('a', { a: { weight: 3, useful: ALL }, b: { weight: 1, useful: ALL } })).toBe(
      0.75,
    );
    expect(shareOf('a', { a: { weight: 7, useful: ALL }, b: { weight: 7, useful: ALL } })).toBe(
      0.5,
    );
  });

  test('differs from that of weight 1 for a team without a configured weight', () => {
    expect(shareOf('', { '': { useful: ALL }, b: { weight: 1, useful: ALL } })).toBe(0.5);
  });

  test.each([0, -1, NaN, Infinity, -Infinity])('takes capacity with a weight of %d', (weight) => {
    const teams = { odd: { weight, useful: ALL }, b: { weight: 1, useful: ALL } };
    expect(shareOf('odd', teams)).toBeCloseTo(MIN_TEAM_WEIGHT, 9);
    expect(shareOf('b', teams)).toBeCloseTo(1, 5);
  });

  test('is lost to rounding beside a team of very large weight', () => {
    for (const weight of [1e18, 1e300, Number.MAX_VALUE]) {
      const huge = { weight, useful: processors(40) };
      const other = { weight, useful: processors(10) };
      const teams = { huge, other, b: { weight: 2, useful: ALL }, c: { weight: 1, useful: ALL } };
      expect(shareOf('b', teams)).toBeCloseTo(1 / 3, 9);
      expect(shareOf('c', teams)).toBeCloseTo(1 / 6, 9);
    }
  });

  test('counts work that its cap or its lateness keeps from starting', () => {
    const capped = { weight: 1, useful: ALL, cap: processors(20, 0) };
    expect(shareOf('b', { a: capped, b: { weight: 1, useful: ALL } })).toBeCloseTo(0.8);
    const late = { weight: 1, worthless: ALL };
    expect(shareOf('b', { a: late, b: { weight: 1, useful: ALL } })).toBe(1);
    expect(sharesOf({ a: late, b: { weight: 1, worthless: ALL } }).standing('a', NONE, true)).toBe(
      'below',
    );
  });

  test('of one resource limits a team that needs another', () => {
    const [cpu, memory] = [processors(1_000, 1), processors(1, 1_000)];
    const teams = { a: { weight: 1, useful: cpu }, b: { weight: 1, useful: memory } };
    expect(shareOf('a', teams)).toBeGreaterThan(0.99);
    expect(shareOf('b', teams)).toBeGreaterThan(0.99);
  });

  test('is not given back to a team that has lent it', () => {
    const lent = { a: { weight: 1, running: processors(100), useful: ALL }, b: { weight: 1 } };
    expect(sharesOf(lent).isBelowShare('a')).toBe(false);
    expect(sharesOf(lent).isBelowShare('b')).toBe(true);
    const back = { ...lent, b: { weight: 1, useful: processors(30) } };
    expect(sharesOf(back).isBelowShare('a')).toBe(false);
    expect(shareOf('b', back)).toBeCloseTo(0.3);
  });

  test('exceeds its demand or the pool, or leaves capacity without need', () => {
    const team = fc.record({
      weight: fc.oneof(fc.double({ min: 1e-6, max: 1e9, noNaN: true }), fc.double()),
      demand: fc.integer({ min: 1, max: 200 }),
    });
    fc.assert(
      fc.property(fc.array(team, { minLength: 1, maxLength: 20 }), (all) => {
        const claims = all.map(({ weight, demand }, index) => ({
          team: `t${index}`,
          weight: effectiveWeight(weight) * 2 ** -64,
          demand,
        }));
        const shares = [...waterFill(100, claims).shares.values()];
        const given = shares.reduce((sum, share) => sum + share, 0);
        const wanted = claims.reduce((sum, { demand }) => sum + demand, 0);
        expect(given).toBeCloseTo(Math.min(100, wanted), 6);
      }),
      { seed: 20261207, numRuns: 1_000 },
    );
  });
});

const TASK_MS: Millis = 400;
const POOL = { executors: 2, processors: 8 };
const TEAMS = ['a', 'b', 'c', 'd'] as const;
const CHECK_MS: Millis = 20;
/** After a takeover, adopted tasks wait until all executors have reported. */
const RECOVERY_MS: Millis = 300;

type Demands = ReadonlyMap<TeamName, { readonly demand: number; readonly weight: number }>;

/** Shares of a pool in processors, found by bisection over the level. */
function expectedShares(demands: Demands): ReadonlyMap<TeamName, number> {
  const capacity = POOL.executors * POOL.processors;
  const at = (level: number): readonly (readonly [TeamName, number])[] =>
    [...demands].map(([team, { demand, weight }]) => [team, Math.min(demand, weight * level)]);
  let [low, high] = [0, 1e6];
  for (let round = 0; round < 60; round += 1) {
    const middle = (low + high) / 2;
    const used = at(middle).reduce((sum, [, share]) => sum + share, 0);
    [low, high] = used > capacity ? [low, middle] : [middle, high];
  }
  return new Map(at(low));
}

interface PastUse {
  readonly at: Millis;
  readonly share: number;
  readonly used: number;
}

/**
 * Checks caps, and that within the time of a task each team has for a moment, but for one task, what
 * its share has been all that time.
 */
class ShareWatch {
  readonly violations: string[] = [];
  readonly #pool: SharedPool;
  readonly #teams: readonly TeamPolicy[];
  readonly #taskSize: number;
  #past = new Map<TeamName, readonly PastUse[]>();

  constructor(pool: SharedPool, teams: readonly TeamPolicy[], taskSize: number) {
    this.#taskSize = taskSize;
    this.#pool = pool;
    this.#teams = teams;
    pool.queue.every(
      CHECK_MS,
      () => true,
      () => {
        this.#check();
      },
    );
  }

  /** A new owner does not know what runs; the checks of shares begin anew. */
  onTakeover(): void {
    const resumedAt = this.#pool.now + RECOVERY_MS;
    this.#past = new Map(TEAMS.map((team) => [team, [{ at: resumedAt, share: 0, used: 0 }]]));
  }

  #check(): void {
    const { usage, now } = this.#pool;
    const shares = expectedShares(this.#demands());
    for (const { name, cap } of this.#teams) {
      const used = usage.get(name) ?? 0;
      if (used > (cap.processors || Infinity)) {
        this.violations.push(`${name} runs ${used} of ${cap.processors} at ${now}`);
      }
      const share = shares.get(name) ?? 0;
      const known = [...(this.#past.get(name) ?? []), { at: now, share, used }];
      const past = known.filter(({ at }) => at >= now - TASK_MS - CHECK_MS);
      this.#past.set(name, past);
      const due = Math.min(...past.map((one) => one.share));
      const most = Math.max(...past.map((one) => one.used));
      if (most < due - this.#taskSize - 1e-6) {
        this.violations.push(`${name} has at most ${most} of ${due} until ${now}`);
      }
    }
  }

  #demands(): Demands {
    return new Map(
      this.#teams.map(({ name, weight, cap }) => {
        const open = this.#pool.demand.get(name) ?? 0;
        return [name, { weight, demand: Math.min(open, cap.processors || Infinity) }];
      }),
    );
  }
}

const arrivals = fc.record({
  afterMs: fc.integer({ min: 0, max: 300 }),
  team: fc.constantFrom(...TEAMS),
  jobs: fc.integer({ min: 1, max: 20 }),
  tasks: fc.integer({ min: 1, max: 3 }),
  takeOver: fc.integer({ min: 0, max: 14 }).map((draw) => draw === 0),
});
const sizes = fc.constantFrom(1, 2, 4);
const policies = fc.array(
  fc.record({
    weight: fc.constantFrom(0.1, 0.5, 1, 1, 2, 3.7, 50),
    cap: fc.constantFrom(0, 0, 4, 8),
  }),
  { minLength: TEAMS.length, maxLength: TEAMS.length },
);

describe('with teams of any weight and cap', () => {
  test('a team lacks more than a task of its share for longer than a task takes', () => {
    fc.assert(
      fc.property(policies, fc.array(arrivals, { maxLength: 25 }), sizes, (drawn, events, size) => {
        const resources = { processors: size, memoryMb: 100, accelerators: 0 };
        const teams = drawn.map(({ weight, cap }, index) =>
          teamOf(TEAMS[index] ?? '', weight, cap),
        );
        const pool = new SharedPool(POOL.executors, POOL.processors, teams);
        pool.run(500);
        const watch = new ShareWatch(pool, teams, size);
        const policy = { ...POLICY, targetLatencyMs: 1e6 };
        events.forEach(({ afterMs, team, jobs, tasks, takeOver }, event) => {
          pool.run(afterMs);
          if (takeOver) {
            watch.onTakeover();
            pool.takeOver();
          }
          for (let index = 0; index < jobs; index += 1) {
            const steps = [step({ taskCount: tasks, resources, estimateMs: TASK_MS })];
            pool.submit({ ...job(`${team}-${event}-${index}`, steps), team, policy });
          }
        });
        for (let seconds = 0; pool.usage.size > 0 && seconds < 300; seconds += 1) {
          pool.run(1_000);
        }
        expect(watch.violations).toEqual([]);
        expect(pool.usage.size).toBe(0);
      }),
      { seed: 20261207, numRuns: 200 },
    );
  });
});
