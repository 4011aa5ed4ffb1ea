import { describe, expect, test } from '@jest/globals';
import fc from 'fast-check';
import {
  FairQueue,
  FleetShares,
  HomeHistory,
  IDEMPOTENCY_WINDOW_MS,
  IdempotencyTable,
  SHARE_STALE_MS,
  type WorkClass,
  homeOf,
  slotsWithin,
  waterFill,
} from '../src/index.js';

const SEED = 20_261_204;

interface Item {
  readonly id: string;
  readonly team: string;
  readonly workClass: WorkClass;
}

let ids = 0;
function fill(queue: FairQueue<Item>, team: string, count: number, workClass: WorkClass): void {
  for (let at = 0; at < count; at += 1) {
    ids += 1;
    queue.push({ id: String(ids), team, workClass });
  }
}

function takeTeams(queue: FairQueue<Item>, count: number): readonly string[] {
  return Array.from({ length: count }, () => queue.take(() => true)?.team ?? '');
}

describe('FairQueue', () => {
  test('teams with full queues start work in proportion to their weights', () => {
    const queue = new FairQueue<Item>(10_000);
    const weights = new Map([
      ['a', 1],
      ['b', 3],
    ]);
    queue.reweigh((team) => weights.get(team) ?? 1);
    fill(queue, 'a', 400, 'normal');
    fill(queue, 'b', 400, 'normal');
    const started = takeTeams(queue, 200);
    expect(started.filter((team) => team === 'b')).toHaveLength(150);
  });

  test('a team that was idle does not get its past share at once', () => {
    const queue = new FairQueue<Item>(10_000);
    fill(queue, 'a', 300, 'normal');
    takeTeams(queue, 200);
    fill(queue, 'b', 100, 'normal');
    const started = takeTeams(queue, 20);
    expect(started.filter((team) => team === 'b')).toHaveLength(10);
  });

  test('archive work keeps 5% of the starts under urgent work', () => {
    const queue = new FairQueue<Item>(10_000);
    fill(queue, 'archive', 100, 'archive');
    fill(queue, 'urgent', 1_000, 'urgent');
    const started = takeTeams(queue, 400);
    expect(started.filter((team) => team === 'archive')).toHaveLength(20);
  });

  test('cancelled work is not started and a parked team does not block the others', () => {
    const queue = new FairQueue<Item>(10_000);
    queue.push({ id: 'x', team: 'a', workClass: 'normal' });
    queue.push({ id: 'y', team: 'b', workClass: 'normal' });
    expect(queue.remove('x')).toBe(true);
    fill(queue, 'a', 1, 'normal');
    expect(queue.take((team) => team !== 'a')?.team).toBe('b');
    expect(queue.take(() => true)).toBeUndefined();
    queue.unpark('a');
    expect(queue.take(() => true)?.team).toBe('a');
  });
});

describe('fleet shares', () => {
  const wants = fc.array(
    fc.record({
      team: fc.uuid(),
      weight: fc.double({ min: 0.1, max: 10, noNaN: true }),
      demand: fc.integer({ min: 1, max: 100 }),
    }),
    { minLength: 1, maxLength: 20 },
  );

  test('no capacity is lost, and no team gets more than it wants or less than its part', () => {
    fc.assert(
      fc.property(wants, fc.integer({ min: 1, max: 500 }), (all, capacity) => {
        const { shares, level } = waterFill(capacity, all);
        const given = [...shares.values()].reduce((sum, share) => sum + share, 0);
        const wanted = all.reduce((sum, want) => sum + want.demand, 0);
        expect(given).toBeCloseTo(Math.min(capacity, wanted), 6);
        for (const want of all) {
          const fair = Math.min(want.demand, want.weight * level);
          expect(shares.get(want.team)).toBeCloseTo(fair, 6);
        }
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });

  const row = (team: string, waiting: number) => ({ queue: 'q', team, waiting, running: 0 });
  const input = (own: readonly ReturnType<typeof row>[]) => ({
    queue: 'q',
    own,
    shareOf: () => 1,
    slots: 40,
  });

  test('a team that spreads over the entries gets no more than one on a single entry', () => {
    const first = new FleetShares('e0');
    const second = new FleetShares('e1');
    const [rows0, rows1] = [[row('spread', 60), row('single', 120)], [row('spread', 60)]];
    first.replace('e1', rows1, 0);
    second.replace('e0', rows0, 0);
    const here = first.allot(input(rows0), 0);
    const there = second.allot(input(rows1), 0);
    const spread = here.weightOf('spread') + there.weightOf('spread');
    expect([here.weightOf('single'), spread]).toEqual([20, 20]);
    expect([here.slots, there.slots]).toEqual([
      { from: 0, to: 0.75 },
      { from: 0.75, to: 1 },
    ]);
  });

  test('rows of an entry that went silent are dropped', () => {
    const shares = new FleetShares('e0');
    shares.replace('e1', [row('a', 120)], 0);
    const own = [row('a', 120)];
    expect(shares.allot(input(own), SHARE_STALE_MS).slots).toEqual({ from: 0, to: 0.5 });
    expect(shares.allot(input(own), SHARE_STALE_MS + 1).slots).toBeUndefined();
  });

  test('the slots of all entries add up to those of each executor', () => {
    const bounds = fc.array(fc.double({ min: 0, max: 1, noNaN: true }), { maxLength: 10 });
    fc.assert(
      fc.property(bounds, fc.double({ min: 0, max: 0.999, noNaN: true }), (cuts, phase) => {
        const edges = [0, ...cuts.toSorted((a, b) => a - b), 1];
        const parts = edges.slice(1).map((to, at) => ({ from: edges[at] ?? 0, to }));
        const slots = parts.map((part) => slotsWithin(part, 8, phase));
        expect(slots.reduce((sum, count) => sum + count, 0)).toBe(8);
      }),
      { seed: SEED, numRuns: 1_000 },
    );
  });
});

describe('idempotency keys', () => {
  test('a full table does not forget a key within the window', () => {
    const table = new IdempotencyTable(1);
    table.claim('a', 0);
    table.settle('a', true, 10);
    const full = table.claim('b', 20);
    expect(full.isErr() && full.error.kind).toBe('idempotency-unavailable');
    const again = table.claim('a', 9 + IDEMPOTENCY_WINDOW_MS);
    expect(again.isErr() && again.error.kind).toBe('idempotency-done');
    expect(table.claim('b', 10 + IDEMPOTENCY_WINDOW_MS).isOk()).toBe(true);
  });

  test('a claim whose end is never reported counts as done, not as free', () => {
    const table = new IdempotencyTable();
    table.claim('a', 0);
    const later = table.claim('a', 200_000);
    expect(later.isErr() && later.error.kind).toBe('idempotency-done');
  });

  test('a member that leaves moves only its own keys', () => {
    const members = ['e0', 'e1', 'e2', 'e3'];
    const keys = Array.from({ length: 200 }, (_, at) => `key-${at}`);
    const moved = keys.filter((key) => homeOf(key, members) !== homeOf(key, members.slice(0, 3)));
    expect(moved.every((key) => homeOf(key, members) === 'e3')).toBe(true);
    expect(moved.length).toBeGreaterThan(25);
  });

  test('the new home of a key does not vouch for what an earlier home kept', () => {
    const history = new HomeHistory('e0');
    const inherited = Array.from({ length: 50 }, (_, at) => `key-${at}`).find(
      (key) => homeOf(key, ['e0', 'e1']) === 'e1',
    );
    history.membersChanged(['e0', 'e1'], 0);
    history.membersChanged(['e0'], IDEMPOTENCY_WINDOW_MS);
    const change = IDEMPOTENCY_WINDOW_MS;
    expect(history.covers(inherited ?? '', change + 1)).toBe(false);
    expect(history.covers(inherited ?? '', 2 * change + 1)).toBe(true);
  });
});
