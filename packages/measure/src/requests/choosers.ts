import {
  type ExecutorChooser,
  LeastOutstanding,
  type Millis,
  type Random,
  ReportedLoad,
  SlotShare,
  TwoChoices,
} from '@turmerichoist/core';
import type { ExecutorProfile } from './fake-executor.js';
import { RequestSimulation, type Service, Tally } from './request-simulation.js';

export const ENTRIES = 8;
const SLOTS = 8;
const MEAN_MS = 100;
const DEADLINE_MS = 2_000;
const EXECUTORS_PER_SERVICE = [6, 7, 8, 9, 6] as const;
const LOADS = [0.5, 0.9, 5] as const;
const WARM_UP_MS = 2_000;
const RUN_MS = 12_000;
/** Fraction of all requests that arrive at the first entry when arrivals are uneven. */
const UNEVEN_FRACTION = 0.4;
const TEAMS = ['t0', 't1', 't2', 't3', 't4', 't5'] as const;

const CHOOSERS: ReadonlyMap<string, (random: Random) => ExecutorChooser> = new Map([
  ['LeastOutstanding', (random: Random): ExecutorChooser => new LeastOutstanding(random)],
  ['TwoChoices', (random: Random): ExecutorChooser => new TwoChoices(random)],
  ['SlotShare', (random: Random): ExecutorChooser => new SlotShare(random)],
  ['ReportedLoad', (random: Random): ExecutorChooser => new ReportedLoad(random)],
]);

/** Result of one chooser at one load. */
export interface ChooserRow {
  readonly chooser: string;
  readonly load: number;
  readonly arrivals: 'even' | 'uneven';
  readonly p50Ms: Millis;
  readonly p99Ms: Millis;
  /** Attempts that an executor refused, as a fraction of all attempts. */
  readonly rejectedByExecutor: number;
  /** Answered requests as a fraction of the executor capacity, or of the arrivals if fewer. */
  readonly goodput: number;
}

/**
 * The first executor of each service takes four times as long, and the second executor of the
 * second service fails 80 % of its attempts.
 */
function services(): readonly Service[] {
  return EXECUTORS_PER_SERVICE.map((count, service) => ({
    name: `s${service}`,
    executors: Array.from({ length: count }, (_, index) => profileOf(service, index)),
  }));
}

function profileOf(service: number, index: number): ExecutorProfile {
  const slow = index === 0;
  const failureRate = service === 1 && index === 1 ? 0.8 : 0;
  return { slots: SLOTS, meanMs: slow ? 4 * MEAN_MS : MEAN_MS, failureRate };
}

function capacityPerSecond(service: Service): number {
  const healthy = service.executors.filter((each) => each.failureRate === 0);
  const rates = healthy.map((each) => (each.slots * 1_000) / each.meanMs);
  return rates.reduce((sum, rate) => sum + rate, 0);
}

/** Compares the choosers at 0.5, 0.9 and 5 times capacity, with even and uneven arrivals. */
export function measureChoosers(seed: number): readonly ChooserRow[] {
  return LOADS.flatMap((load) =>
    (['even', 'uneven'] as const).flatMap((arrivals) =>
      [...CHOOSERS.keys()].map((chooser) => measureChooser(chooser, load, arrivals, seed)),
    ),
  );
}

function measureChooser(
  chooser: string,
  load: number,
  arrivals: ChooserRow['arrivals'],
  seed: number,
): ChooserRow {
  const newChooser = CHOOSERS.get(chooser) ?? ((random: Random) => new LeastOutstanding(random));
  const all = services();
  const teams = new Map(TEAMS.map((team) => [team, 1]));
  const simulation = new RequestSimulation({
    entries: ENTRIES,
    services: all,
    teams,
    chooser: newChooser,
    seed,
    publishMs: 500,
  });
  for (const service of all) {
    simulation.startPoissonArrivals(load * capacityPerSecond(service), () => {
      const entry = pickEntry(simulation.random, arrivals);
      const team = TEAMS[simulation.random.nextInt(TEAMS.length)] ?? 't0';
      simulation.submit(entry, service.name, team, DEADLINE_MS);
    });
  }
  simulation.time.runUntil(WARM_UP_MS);
  simulation.tally = new Tally();
  simulation.time.runUntil(WARM_UP_MS + RUN_MS);
  const capacity = all.reduce((sum, service) => sum + capacityPerSecond(service), 0);
  return rowOf({ chooser, load, arrivals }, simulation.tally, (capacity * RUN_MS) / 1_000);
}

function pickEntry(random: Random, arrivals: ChooserRow['arrivals']): number {
  return arrivals === 'uneven' && random.next() < UNEVEN_FRACTION ? 0 : random.nextInt(ENTRIES);
}

function rowOf(
  head: Pick<ChooserRow, 'chooser' | 'load' | 'arrivals'>,
  tally: Tally,
  capacity: number,
): ChooserRow {
  return {
    ...head,
    p50Ms: tally.waits.getValueAtPercentile(50) / 1_000,
    p99Ms: tally.waits.getValueAtPercentile(99) / 1_000,
    rejectedByExecutor: tally.refusedAttempts / tally.attempts,
    goodput: tally.answeredTotal / Math.min(capacity, tally.arrived),
  };
}
