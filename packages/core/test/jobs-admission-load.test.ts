import { describe, expect, test } from '@jest/globals';
import { waterFill } from '../src/requests/water-fill.js';
import { OverloadWorld, type OverloadOptions, type Submission } from './support/overload.js';

// Each test is named after the failure that it guards against.

const OVERLOAD = 5;
const CAPACITY_LOAD = 1;
const NORMAL_LOAD = 0.5;
const BURST_AT = 3_000;
const BURST_ENDS_AT = 13_000;
const SETTLE_MS = 2_000;
/** Without demand, until all accepted work is done. */
const DRAIN_MS = 30_000;
/** Part of the useful work at capacity that is kept under overload. */
const USEFUL_PART = 0.9;
/** Part of its share of the useful work that each team gets; the teams' jobs end in large pieces. */
const LEAST_PART_OF_SHARE = 0.9;

/** One large team, three with more demand than their share, and two with less. */
const DEMAND: ReadonlyMap<string, number> = new Map([
  ['t1', 3],
  ['t2', 1],
  ['t3', 1],
  ['t4', 1],
  ['t5', 0.15],
  ['t6', 0.05],
]);

function newWorld(seed: number, over: Partial<OverloadOptions> = {}): OverloadWorld {
  return new OverloadWorld({ seed, admission: true, demand: DEMAND, ...over });
}

/** Five times the capacity for 10 s between times of normal load. */
function runBurst(world: OverloadWorld): OverloadWorld {
  world.run(BURST_AT, NORMAL_LOAD);
  world.run(BURST_ENDS_AT - BURST_AT, OVERLOAD);
  world.run(8_000, NORMAL_LOAD);
  world.run(DRAIN_MS, 0);
  return world;
}

/** Useful work per second where the demand is the capacity. */
function capacityRate(seed: number): number {
  const world = newWorld(seed, { admission: false });
  world.run(13_000, CAPACITY_LOAD);
  return world.usefulRate(BURST_AT, 13_000);
}

function during({ submissions }: OverloadWorld, from: number, until: number) {
  return submissions.filter(({ at }) => at >= from && at < until);
}

function partOf(all: readonly Submission[], is: (one: Submission) => boolean): number {
  return all.filter(is).length / all.length;
}

function largestTenth(all: readonly Submission[]): readonly Submission[] {
  return [...all].sort((a, b) => b.work - a.work).slice(0, Math.floor(all.length / 10));
}

/** Processor-milliseconds. */
function workOf(all: readonly Submission[]): number {
  return all.reduce((sum, { work }) => sum + work, 0);
}

const isRefused = ({ refusal }: Submission): boolean => refusal !== undefined;

describe.each([1, 2, 3])('five times the capacity for 10 s, seed %i', (seed) => {
  const world = runBurst(newWorld(seed));
  const burst = during(world, BURST_AT, BURST_ENDS_AT);
  // The same submissions, of which all are accepted.
  const replay = runBurst(newWorld(seed, { admission: false }));
  const replayed = new Map(replay.submissions.map((one) => [one.job.id, one]));
  const isUsefulWithout = ({ job: { id } }: Submission): boolean => {
    const one = replayed.get(id);
    return one !== undefined && replay.isUseful(one);
  };

  test('useful work collapses', () => {
    const rate = world.usefulRate(BURST_AT, BURST_ENDS_AT);
    expect(rate).toBeGreaterThan(USEFUL_PART * capacityRate(seed));
  });

  test('nothing is refused, or something before the burst', () => {
    expect(partOf(burst, isRefused)).toBeGreaterThan(0.3);
    expect(during(world, 0, BURST_AT).filter(isRefused)).toEqual([]);
  });

  test('the service is not normal 2 s after the end', () => {
    const after = during(world, BURST_ENDS_AT + SETTLE_MS, BURST_ENDS_AT + 8_000);
    expect(after.filter(isRefused)).toEqual([]);
    const before = during(world, 0, BURST_AT);
    const useful = (one: Submission): boolean => world.isUseful(one);
    expect(partOf(after, useful)).toBeGreaterThan(USEFUL_PART * partOf(before, useful));
  });

  // In place of a bound on refusals of large jobs: these are what the order of jobs serves last.
  test('refused jobs would have ended with value', () => {
    const refused = world.submissions.filter(isRefused);
    const inVain = (one: Submission): boolean => !isUsefulWithout(one);
    expect(partOf(refused, inVain)).toBeGreaterThanOrEqual(0.9);
  });

  test('fewer jobs end with value than without refusals', () => {
    const useful = (one: Submission): boolean => world.isUseful(one);
    const parts = [partOf(burst, useful), partOf(burst, isUsefulWithout)] as const;
    expect(parts[0]).toBeGreaterThan(parts[1] - 0.02);
  });

  test('a team gets less useful work done than its share', () => {
    const demands = [...DEMAND.keys()].map((team) => {
      const own = burst.filter((one) => one.job.team === team);
      const useful = own.filter((one) => world.isUseful(one));
      return { team, weight: 1, demand: workOf(own), useful: workOf(useful) };
    });
    const total = demands.reduce((sum, { useful }) => sum + useful, 0);
    const { shares } = waterFill(total, demands);
    const parts = demands.map(({ team, useful }) => useful / (shares.get(team) ?? 0));
    expect(Math.min(...parts)).toBeGreaterThan(LEAST_PART_OF_SHARE);
  });

  test('an accepted job is lost', () => {
    const lost = world.submissions.filter((one) => !isRefused(one) && !world.isCompleted(one));
    expect(lost).toEqual([]);
  });

  test('a team gets less work accepted than its share of the capacity', () => {
    const rates = [...DEMAND.keys()].map((team) => {
      const own = burst.filter((one) => one.job.team === team);
      const rate = (all: readonly Submission[]): number => workOf(all) / (BURST_ENDS_AT - BURST_AT);
      return { demand: rate(own), accepted: rate(own.filter((one) => !isRefused(one))) };
    });
    const share = world.capacity / DEMAND.size;
    rates.forEach(({ demand, accepted }) => {
      expect(accepted).toBeGreaterThanOrEqual(Math.min(demand, share));
    });
  });

  test('a refused job runs, or the rules on runs are violated', () => {
    const stored = burst.filter(isRefused).filter(({ job }) => world.cell.jobs.has(job.id));
    expect(stored).toEqual([]);
    expect(world.cell.violations).toEqual([]);
  });
});

// Listed as known red: the order of jobs serves the least work first, and large jobs that were accepted
// lose their value behind small ones.
test('the largest tenth ends with value less than half as often as all jobs', () => {
  const world = runBurst(newWorld(1));
  const burst = during(world, BURST_AT, BURST_ENDS_AT);
  const useful = (one: Submission): boolean => world.isUseful(one);
  expect(partOf(largestTenth(burst), useful)).toBeGreaterThan(0.5 * partOf(burst, useful));
});

describe('with figures that are ten seconds old at a third of the members', () => {
  const outdated = { outdatedMembers: 2, outdatedUntil: BURST_ENDS_AT, outdatedFrom: BURST_AT };
  const world = runBurst(newWorld(4, outdated));

  test('useful work collapses', () => {
    const rate = world.usefulRate(BURST_AT, BURST_ENDS_AT);
    expect(rate).toBeGreaterThan(USEFUL_PART * capacityRate(4));
  });

  test('these members refuse jobs, or the others none', () => {
    // Figures from before the burst refuse nothing, those of its end nothing after 3.5 s.
    const byMember = (member: number) =>
      during(world, BURST_AT, BURST_ENDS_AT).filter((one) => one.member === member);
    expect(byMember(0).filter(isRefused)).toEqual([]);
    expect(partOf(byMember(2), isRefused)).toBeGreaterThan(0.3);
  });
});

describe('with a change of leader in the middle of the burst', () => {
  const world = newWorld(5);
  world.run(BURST_AT, NORMAL_LOAD);
  world.run(5_000, OVERLOAD);
  world.cell.killOwner();
  world.run(5_000, OVERLOAD);
  world.run(12_000, NORMAL_LOAD);
  world.run(DRAIN_MS, 0);

  test('jobs are refused by what the former leader knew', () => {
    const ages = world.submissions.map(({ refusal }) => refusal?.expected.ageMs ?? 0);
    expect(Math.max(...ages)).toBeLessThanOrEqual(3_500);
  });

  test('no job is refused any more', () => {
    const later = during(world, 12_000, BURST_ENDS_AT);
    expect(partOf(later, isRefused)).toBeGreaterThan(0.3);
  });

  test('the service is not normal 2 s after the end, an accepted job is lost or a refused one runs', () => {
    const after = during(world, BURST_ENDS_AT + SETTLE_MS, BURST_ENDS_AT + 12_000);
    expect(after.filter(isRefused)).toEqual([]);
    const lost = world.submissions.filter((one) => !isRefused(one) && !world.isCompleted(one));
    expect(lost).toEqual([]);
    expect(world.submissions.filter((one) => isRefused(one) && world.isCompleted(one))).toEqual([]);
    expect(world.cell.violations).toEqual([]);
  });
});
