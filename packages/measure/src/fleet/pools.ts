import {
  FixedBuffer,
  FleetDecider,
  FleetSimulation,
  ProportionalBorrowing,
  RecentDemand,
  SeededRandom,
  type FleetDecision,
  type PoolPlanner,
} from '@turmerichoist/core';
import { configurationOf, poolName, type Deployment } from './deployments.js';
import { renderTable } from './table.js';

const TICK_MS = 5_000;
const SAMPLE_MS = 30_000;
const HOUR_MS = 3_600_000;
const RUN_MS = 48 * HOUR_MS;
const BURST_MS = 2_400_000;
const BURST_GAP_MS = 1_200_000;
const SLOTS = 8;
/** Mean demand as a fraction of the pool's capacity. Five times that is twice the capacity. */
const MEAN_DEMAND_FRACTION = 0.4;
const BURST_FACTOR = 5;
const QUIET_FACTOR = 1 / 20;
const NOISE = 0.2;
/** Bursts start up to this much early or late. */
const JITTER_MS = 240_000;

/** Totals over the run. Times are in instance-hours. */
export interface PoolTotals {
  /** Time of borrowed instances that the demand did not need. */
  readonly idleBorrowedHours: number;
  readonly unmetHours: number;
  readonly demandHours: number;
  readonly moves: number;
}

type Totals = { -readonly [K in keyof PoolTotals]: PoolTotals[K] };

/** Compares the planners on the same demand, in which one pool bursts after the other. */
export function measurePools(deployment: Deployment, seed: number): string {
  const planners: readonly (readonly [string, PoolPlanner])[] = [
    ['FixedBuffer(1)', new FixedBuffer(1)],
    ['ProportionalBorrowing', new ProportionalBorrowing()],
    ['RecentDemand', new RecentDemand()],
  ];
  const rows = planners.map(([name, planner]) => {
    const totals = runPlanner(deployment, seed, planner);
    const unmetPart = (100 * totals.unmetHours) / totals.demandHours;
    return [
      name,
      totals.idleBorrowedHours.toFixed(2),
      totals.moves,
      totals.unmetHours.toFixed(2),
      unmetPart.toFixed(2),
    ];
  });
  const headings = ['planner', 'idle borrowed instance-h', 'moves', 'unmet instance-h', 'unmet %'];
  return renderTable(headings, rows);
}

/** Runs one planner on the demand that the seed determines. */
export function runPlanner(deployment: Deployment, seed: number, planner: PoolPlanner): PoolTotals {
  const totals: Totals = { idleBorrowedHours: 0, unmetHours: 0, demandHours: 0, moves: 0 };
  const decider = new FleetDecider({ poolPlanner: planner });
  const simulation = new FleetSimulation({
    cfg: configurationOf(deployment),
    decider,
    drainMs: 60_000,
    rebootMs: 180_000,
    tickMs: TICK_MS,
    commitMs: 10,
    startWallMs: 0,
    onDecision: (decision) => {
      totals.moves += countMoves(decision);
    },
  });
  simulation.start();
  const random = new SeededRandom(seed);
  const bursts = burstStarts(deployment.pools - 1, random);
  const sample = (): void => {
    for (let pool = 0; pool < deployment.pools - 1; pool += 1) {
      const demand = demandFraction(simulation.now, bursts[pool] ?? [], random);
      samplePool(poolName(pool), demand, simulation, decider, totals);
    }
    simulation.at(simulation.now + SAMPLE_MS, sample);
  };
  sample();
  simulation.run(RUN_MS);
  return totals;
}

function countMoves(decision: FleetDecision): number {
  return decision.type === 'move-instances' ? decision.txn.poolChanges.length : 0;
}

function burstStarts(pools: number, random: SeededRandom): readonly (readonly number[])[] {
  const period = pools * (BURST_MS + BURST_GAP_MS);
  return Array.from({ length: pools }, (_, pool) =>
    Array.from({ length: Math.ceil(RUN_MS / period) + 1 }, (__, round) => {
      const jitter = (random.next() * 2 - 1) * JITTER_MS;
      return HOUR_MS + round * period + pool * (BURST_MS + BURST_GAP_MS) + jitter;
    }),
  );
}

/** Demand as a fraction of the capacity of the pool at its declared size. */
function demandFraction(now: number, starts: readonly number[], random: SeededRandom): number {
  const isBurst = starts.some((start) => now >= start && now < start + BURST_MS);
  const noise = 1 + (random.next() * 2 - 1) * NOISE;
  return MEAN_DEMAND_FRACTION * (isBurst ? BURST_FACTOR : QUIET_FACTOR) * noise;
}

function samplePool(
  pool: string,
  relativeDemand: number,
  simulation: FleetSimulation,
  decider: FleetDecider,
  totals: Totals,
): void {
  const size = simulation.cfg.spec('pool', pool)?.size ?? 0;
  const members = simulation.cfg.list('instance').filter((each) => each.spec.pool === pool);
  const available = members.filter((each) => decider.isSchedulable(each.name)).length;
  const demand = relativeDemand * size;
  const hours = SAMPLE_MS / HOUR_MS;
  const borrowed = Math.max(0, members.length - size);
  totals.demandHours += demand * hours;
  totals.unmetHours += Math.max(0, demand - available) * hours;
  totals.idleBorrowedHours += Math.min(borrowed, Math.max(0, members.length - demand)) * hours;
  const running = Math.min(demand, available) * SLOTS;
  const waiting = Math.max(0, demand - available) * SLOTS;
  const capacity = members.length * SLOTS;
  const poolDemand = { pool, running, waiting, capacity, instances: members.length };
  simulation.deliver({ type: 'demand', demand: poolDemand });
}
