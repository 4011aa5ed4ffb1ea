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
import { Fleet, type Service, Tally } from './fleet.js';

export const ENTRIES = 8;
const SLOTS = 8;
const MEAN_MS = 100;
const DEADLINE_MS = 2_000;
const EXECUTORS_PER_SERVICE = [6, 7, 8, 9, 6] as const;
const LOADS = [0.5, 0.9, 5] as const;
const WARM_UP_MS = 2_000;
const RUN_MS = 12_000;
/** Part of all requests that arrive at the first entry when arrivals are uneven. */
const UNEVEN_PART = 0.4;
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
  /** Attempts that an executor refused, as a part of all attempts. */
  readonly rejectedByExecutor: number;
  /** Answered requests as a part of what the executors can run, or of the arrivals if fewer. */
  readonly goodput: number;
}

/** In each service the first executor takes four times as long; in the second one, one fails. */
function services(): readonly Service[] {
  return EXECUTORS_PER_SERVICE.map((count, service) => ({
    name: `s${service}`,
    executors: Array.from({ length: count }, (_, at) => profileOf(service, at)),
  }));
}

function profileOf(service: number, at: number): ExecutorProfile {
  const slow = at === 0;
  const failing = service === 1 && at === 1 ? 0.8 : 0;
  return { slots: SLOTS, meanMs: slow ? 4 * MEAN_MS : MEAN_MS, failing };
}

function capacityPerSecond(service: Service): number {
  const sound = service.executors.filter((each) => each.failing === 0);
  const rates = sound.map((each) => (each.slots * 1_000) / each.meanMs);
  return rates.reduce((sum, rate) => sum + rate, 0);
}

/** Compares the choosers at 0.5, 0.9 and 5 times capacity, with even and uneven arrivals. */
export function measureChoosers(seed: number): readonly ChooserRow[] {
  return LOADS.flatMap((load) =>
    (['even', 'uneven'] as const).flatMap((arrivals) =>
      [...CHOOSERS.keys()].map((chooser) => measureOne(chooser, load, arrivals, seed)),
    ),
  );
}

function measureOne(
  chooser: string,
  load: number,
  arrivals: ChooserRow['arrivals'],
  seed: number,
): ChooserRow {
  const make = CHOOSERS.get(chooser) ?? ((random: Random) => new LeastOutstanding(random));
  const all = services();
  const teams = new Map(TEAMS.map((team) => [team, 1]));
  const fleet = new Fleet({
    entries: ENTRIES,
    services: all,
    teams,
    chooser: make,
    seed,
    publishMs: 500,
  });
  for (const service of all) {
    fleet.poisson(load * capacityPerSecond(service), () => {
      const entry = pickEntry(fleet.random, arrivals);
      const team = TEAMS[fleet.random.nextInt(TEAMS.length)] ?? 't0';
      fleet.arrive(entry, service.name, team, DEADLINE_MS);
    });
  }
  fleet.time.runUntil(WARM_UP_MS);
  fleet.tally = new Tally();
  fleet.time.runUntil(WARM_UP_MS + RUN_MS);
  const capacity = all.reduce((sum, service) => sum + capacityPerSecond(service), 0);
  return rowOf({ chooser, load, arrivals }, fleet.tally, (capacity * RUN_MS) / 1_000);
}

function pickEntry(random: Random, arrivals: ChooserRow['arrivals']): number {
  return arrivals === 'uneven' && random.next() < UNEVEN_PART ? 0 : random.nextInt(ENTRIES);
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
