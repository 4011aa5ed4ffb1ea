import { describe, expect, test } from '@jest/globals';
import {
  FixedBuffer,
  FleetDecider,
  FleetSimulation,
  ProportionalBorrowing,
  RAMP_STEP_MS,
  RecentDemand,
  estimatePlan,
  type Configuration,
  type FleetDecision,
  type FleetTransaction,
  type PlanSpec,
  type PoolLoad,
  type RowWrite,
} from '@turmerichoist/core';
import { configuration, instanceDocument } from './fleet-fixtures.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const DURATIONS = { drainMs: 60_000, rebootMs: 240_000 };

type Spec = Readonly<Record<string, unknown>>;

/** Pools `a` and `b`. Instances alternate between them, four to a rack, all in zone `z1`. */
function fleet(
  count: number,
  maxUnavailable: number,
  plans: Readonly<Record<string, Spec>>,
): Configuration {
  const pools = ['a', 'b'].map((name) => {
    return { kind: 'pool', name, spec: { size: count / 2, budget: { maxUnavailable } } };
  });
  const instances = Array.from({ length: count }, (_, index) =>
    instanceDocument(index, index % 2 === 0 ? 'a' : 'b', `r${Math.floor(index / 4)}`, 'z1'),
  );
  const declared = Object.entries(plans).map(([name, spec]) => ({ kind: 'plan', name, spec }));
  const zone = { kind: 'zone', name: 'z1', spec: { region: 'r' } };
  return configuration([zone, ...pools, ...instances, ...declared]);
}

interface Run {
  readonly decider: FleetDecider;
  readonly simulation: FleetSimulation;
  readonly reboots: readonly { readonly name: string; readonly at: number }[];
  readonly drains: readonly string[];
  readonly transactions: readonly FleetTransaction[];
}

function simulate(
  cfg: Configuration,
  options: {
    readonly cycleMs?: number;
    readonly tickMs?: number;
    readonly startWallMs?: number;
    readonly drainMsOf?: (name: string) => number;
  } = {},
): Run {
  const { cycleMs, tickMs = 5_000, startWallMs = 0, drainMsOf } = options;
  const reboots: { readonly name: string; readonly at: number }[] = [];
  const drains: string[] = [];
  const transactions: FleetTransaction[] = [];
  const decider = new FleetDecider({
    poolPlanner: new FixedBuffer(0),
    ...(cycleMs === undefined ? {} : { cycleMs }),
  });
  const simulation = new FleetSimulation({
    cfg,
    decider,
    ...DURATIONS,
    tickMs,
    commitMs: 10,
    startWallMs,
    ...(drainMsOf === undefined ? {} : { drainMsOf }),
    onDecision: (decision: FleetDecision, at) => {
      if (decision.type === 'reboot') {
        reboots.push({ name: decision.instance, at });
      } else if (decision.type === 'drain') {
        drains.push(decision.instance);
      } else if ('txn' in decision) {
        transactions.push(decision.txn);
      }
    },
  });
  return { decider, simulation, reboots, drains, transactions };
}

interface Owner {
  readonly decider: FleetDecider;
  /** Transactions of the first planning round. */
  readonly first: readonly FleetTransaction[];
}

/** A decider that owns pool `a`, with every instance up. */
function ownerOfA(cfg: Configuration): Owner {
  const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
  decider.handle({ type: 'config-changed', cfg }, 0);
  for (const { name } of cfg.list('instance')) {
    decider.handle({ type: 'instance-seen', instance: name, state: 'up', boot: 1 }, 0);
  }
  const gained = { type: 'ownership-gained', fence: { role: 'a', epoch: 1 }, rows: [] } as const;
  return { decider, first: transactionsOf(decider.handle(gained, 0)) };
}

function transactionsOf(decisions: readonly FleetDecision[]): readonly FleetTransaction[] {
  return decisions.flatMap((each) => ('txn' in each ? [each.txn] : []));
}

function commit(
  decider: FleetDecider,
  txn: FleetTransaction,
  version: number,
): readonly FleetDecision[] {
  const rows = txn.writes.map((write) => ({ ...write, version }));
  return decider.handle({ type: 'transaction-committed', id: txn.id, rows }, 0);
}

function takenBy(write: RowWrite): readonly string[] {
  return write.kind === 'budget' ? write.value.taken.map((entry) => entry.instance) : [];
}

function setZone(cfg: Configuration, state: 'in' | 'out'): Configuration {
  const zone = cfg.get('zone', 'z1');
  const version = cfg.revision + 1;
  return zone === undefined
    ? cfg
    : cfg.with(version, [
        { op: 'put', resource: { ...zone, version, spec: { ...zone.spec, state } } },
      ]);
}

const oneRack = { p: { select: { racks: ['r0'] } } };

describe('budgets', () => {
  test('a rack acquires budget in none of its pools when one of them lacks it', () => {
    const cfg = fleet(8, 2, {
      p: { select: { racks: ['r1'] }, window: { fromMinute: 10, toMinute: 600 } },
    });
    const { simulation, transactions } = simulate(cfg);
    simulation.start();
    simulation.fail('i10', 2 * HOUR_MS);
    simulation.run(HOUR_MS);
    const writes = transactions.flatMap((txn) => txn.writes);
    const taken = writes.flatMap((write) => (write.kind === 'budget' ? write.value.taken : []));
    expect(taken.filter((entry) => entry.cause === 'plan/p')).toEqual([]);
  });

  test('a failure uses the budget, and the plan says which budget it waits for', () => {
    const cfg = fleet(8, 2, {
      p: { select: { racks: ['r1'] }, window: { fromMinute: 10, toMinute: 600 } },
    });
    const { decider, simulation, reboots } = simulate(cfg);
    simulation.start();
    simulation.fail('i10', 2 * HOUR_MS);
    simulation.run(HOUR_MS);
    expect(reboots).toEqual([]);
    const wait = decider.why('plan', 'p');
    expect(wait?.reason).toMatchObject({ type: 'budget', pool: 'a', used: 1, needed: 2, limit: 2 });
    expect(wait?.since).toBe(600_000);
    simulation.run(3 * HOUR_MS);
    expect(reboots.length).toBe(4);
  });

  test('units of a transaction with unknown outcome count as taken', () => {
    const cfg = fleet(8, 1, { p: { select: { zones: ['z1'] }, maxParallel: 8 } });
    const { decider, first } = ownerOfA(cfg);
    expect(first.length).toBe(1);
    decider.handle({ type: 'transaction-unknown', id: first[0]?.id ?? 0 }, 0);
    const later = decider.handle({ type: 'tick', wallMs: 60_000 }, 60_000);
    expect(later.filter((each) => 'txn' in each || each.type === 'drain')).toEqual([]);
  });

  test('an aborted plan sends no drain for an instance whose unit it has just released', () => {
    const cfg = fleet(8, 1, { p: { select: { zones: ['z1'] }, maxParallel: 1 } });
    const { decider, first } = ownerOfA(cfg);
    const taken = first.flatMap((txn) => txn.writes).flatMap(takenBy);
    decider.handle({ type: 'instance-seen', instance: 'i16', state: 'down', boot: 1 }, 0);
    expect(taken).toEqual(['i10']);
    const recorded = transactionsOf(first.flatMap((txn) => commit(decider, txn, 1)));
    const held = recorded.flatMap((txn) => commit(decider, txn, 2));
    expect(held.filter((each) => each.type === 'drain')).toEqual([]);
    decider.handle({ type: 'instance-seen', instance: 'i16', state: 'rebooted', boot: 2 }, 0);
    const plan = cfg.get('plan', 'p');
    const spec = { ...plan?.spec, state: 'aborted' } as PlanSpec;
    const resource = { kind: 'plan', name: 'p', spec, version: 2 } as const;
    const aborted = cfg.with(2, [{ op: 'put', resource }]);
    const decisions = decider.handle({ type: 'config-changed', cfg: aborted }, 1_000);
    expect(
      transactionsOf(decisions)
        .flatMap((txn) => txn.writes)
        .flatMap(takenBy),
    ).toEqual([]);
    expect(decisions.filter((each) => each.type === 'drain')).toEqual([]);
  });
});

describe('maintenance plans', () => {
  test('a rack that needs the whole budget is not starved by single instances', () => {
    const cfg = fleet(40, 2, {
      singles: { select: { zones: ['z1'] }, maxParallel: 40 },
      'whole-rack': { select: { racks: ['r9'] } },
    });
    // Drain times differ, so the two units of a pool are never free at the same time.
    const drainMsOf = (name: string): number => 60_000 + 7_000 * Number(name.slice(1));
    const { decider, simulation } = simulate(cfg, { drainMsOf });
    simulation.start();
    simulation.run(DAY_MS, () => decider.planRow('whole-rack')?.remaining.length === 0);
    expect(decider.planRow('singles')?.remaining.length).toBeGreaterThan(20);
  });

  test('a plan stops when failures rise during a wave and resumes when they are over', () => {
    const cfg = fleet(40, 6, { p: { select: { zones: ['z1'] }, maxParallel: 2 } });
    const { decider, simulation, reboots } = simulate(cfg);
    simulation.start();
    simulation.run(1_000);
    for (const name of ['i20', 'i21', 'i22']) {
      simulation.fail(name, HOUR_MS);
    }
    simulation.run(50 * 60_000);
    expect(reboots.length).toBe(2);
    expect(decider.why('plan', 'p')?.reason).toMatchObject({ type: 'failures', current: 3 });
    simulation.run(DAY_MS, () => decider.planRow('p')?.remaining.length === 0);
    expect(decider.planRow('p')?.remaining).toEqual([]);
  });

  test('no wave starts outside the window', () => {
    const window = { fromMinute: 120, toMinute: 180 };
    const { simulation, reboots } = simulate(
      fleet(8, 2, { p: { select: { racks: ['r0'] }, window } }),
    );
    simulation.start();
    simulation.run(DAY_MS);
    expect(Math.min(...reboots.map(({ at }) => at))).toBeGreaterThanOrEqual(2 * HOUR_MS);
    expect(reboots.length).toBe(4);
  });

  test('an instance that rebooted by itself is not taken down again', () => {
    const cfg = fleet(8, 1, { p: { select: { zones: ['z1'] }, maxParallel: 1 } });
    const { simulation, reboots } = simulate(cfg);
    simulation.start();
    simulation.fail('i17', 60_000);
    simulation.run(DAY_MS);
    expect(reboots.map(({ name }) => name)).not.toContain('i17');
    expect(reboots.length).toBe(7);
  });

  test('the first report of an instance does not count as its reboot', () => {
    const cfg = fleet(4, 1, { p: { select: { racks: ['r0'] }, maxParallel: 4 } });
    const decider = new FleetDecider({ poolPlanner: new FixedBuffer(0) });
    let version = 0;
    const deliver = (event: Parameters<FleetDecider['handle']>[0], now: number): void => {
      for (const decision of decider.handle(event, now)) {
        if ('txn' in decision) {
          version += 1;
          const rows = decision.txn.writes.map((write) => ({ ...write, version }));
          deliver({ type: 'transaction-committed', id: decision.txn.id, rows }, now);
        }
      }
    };
    deliver({ type: 'config-changed', cfg }, 0);
    for (const role of ['a', 'b']) {
      deliver({ type: 'ownership-gained', fence: { role, epoch: 1 }, rows: [] }, 0);
    }
    deliver({ type: 'tick', wallMs: 0 }, 0);
    expect(decider.planRow('p')?.remaining).toHaveLength(4);
    for (const { name } of cfg.list('instance')) {
      deliver({ type: 'instance-seen', instance: name, state: 'up', boot: 7 }, 1);
    }
    deliver({ type: 'tick', wallMs: 2 }, 2);
    expect(decider.planRow('p')?.remaining.map(({ boot }) => boot)).toEqual([7, 7, 7, 7]);
  });

  test('a dry run names a group that no budget can cover instead of waiting for ever', () => {
    const estimate = estimatePlan(fleet(8, 1, oneRack), 'p', DURATIONS, 0);
    expect(estimate?.impossible[0]).toMatchObject({ type: 'impossible', pool: 'a', needed: 2 });
  });

  test('a dry run is no shorter than its lower bound and close to it', () => {
    const plans = { p: { select: { zones: ['z1'] }, maxParallel: 40 } };
    const estimate = estimatePlan(fleet(40, 4, plans), 'p', DURATIONS, 0);
    const bound = estimate?.lowerBoundMs ?? 0;
    expect(bound).toBe(5 * 300_000);
    expect(estimate?.finishMs).toBeGreaterThanOrEqual(bound);
    expect(estimate?.finishMs).toBeLessThan(bound * 1.05);
  });

  test('continuous maintenance reboots every instance once in each cycle of 3 weeks', () => {
    const cycleMs = 21 * DAY_MS;
    const cfg = fleet(16, 1, {});
    const { simulation, reboots, drains } = simulate(cfg, { cycleMs, tickMs: HOUR_MS });
    simulation.start();
    simulation.run(3 * cycleMs);
    for (let cycle = 0; cycle < 3; cycle += 1) {
      const inCycle = reboots.filter(({ at }) => Math.floor(at / cycleMs) === cycle);
      expect(new Set(inCycle.map(({ name }) => name)).size).toBe(16);
    }
    expect(drains.length).toBeGreaterThanOrEqual(reboots.length);
  });
});

describe('availability zones', () => {
  test('a zone that leaves starts no more work and drains no more than its budget', () => {
    const { decider, simulation } = simulate(fleet(16, 2, {}));
    simulation.start();
    simulation.configure(setZone(simulation.cfg, 'out'));
    const open = simulation.cfg.list('instance').filter(({ name }) => decider.isSchedulable(name));
    expect(open).toEqual([]);
    simulation.run(HOUR_MS);
    expect(decider.zoneProgress('a')[0]).toMatchObject({ drained: 2, state: 'leaving' });
    expect(decider.why('pool', 'a')?.reason.type).toBe('budget');
  });

  test('a zone that returns starts work on a growing number of instances', () => {
    const { decider, simulation } = simulate(fleet(32, 16, {}));
    const open = (): number =>
      simulation.cfg.list('instance').filter(({ name }) => decider.isSchedulable(name)).length;
    simulation.start();
    simulation.configure(setZone(simulation.cfg, 'out'));
    simulation.run(10 * 60_000);
    simulation.configure(setZone(simulation.cfg, 'in'));
    const from = simulation.now;
    const parts = [1, 2, 3, 4].map((step) => {
      simulation.run(from + step * RAMP_STEP_MS - 1_000);
      return open();
    });
    expect(parts).toEqual([4, 8, 16, 32]);
  });
});

describe('pool planners', () => {
  const load = (demand: number, instances: number): readonly PoolLoad[] => [
    { pool: 'a', size: 6, instances, demand },
  ];

  test('instances are not returned when demand falls only briefly', () => {
    const planner = new ProportionalBorrowing({ slack: 0, returnAfterMs: 60_000 });
    const target = (demand: number, now: number): number | undefined =>
      planner.targets(load(demand, 9), 4, now).get('a');
    expect([target(9, 0), target(2, 1_000), target(9, 2_000)]).toEqual([9, 9, 9]);
    expect([target(2, 3_000), target(2, 62_999), target(2, 63_000)]).toEqual([9, 9, 6]);
  });

  test('instances are borrowed ahead of a regular burst', () => {
    const planner = new RecentDemand();
    for (let now = 0; now < 4 * HOUR_MS; now += 60_000) {
      planner.targets(load(now % HOUR_MS < 600_000 ? 9 : 1, 6), 4, now);
    }
    const before = 4 * HOUR_MS + 40 * 60_000;
    planner.targets(load(9, 6), 4, 4 * HOUR_MS);
    planner.targets(load(1, 6), 4, 4 * HOUR_MS + 600_000);
    expect(planner.targets(load(1, 6), 4, before).get('a')).toBe(6);
    expect(planner.targets(load(1, 6), 4, before + 10 * 60_000).get('a')).toBe(9);
  });
});
