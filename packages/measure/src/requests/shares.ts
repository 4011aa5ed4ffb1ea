import { type ExecutorChooser, type Random, ReportedLoad } from '@turmerichoist/core';
import { ENTRIES } from './choosers.js';
import { RequestSimulation, type Service, Tally } from './request-simulation.js';

const SLOTS = 8;
const EXECUTORS = 8;
const MEAN_MS = 100;
const DEADLINE_MS = 2_000;
const WARM_UP_MS = 5_000;
const RUN_MS = 20_000;
const PUBLISH_MS = 500;
const CAPACITY_PER_S = (EXECUTORS * SLOTS * 1_000) / MEAN_MS;
/** Demand of each team, relative to the whole capacity. */
const OVERLOAD = 2;

/** Shares of the answered requests, for a team on all entries and for one on a single entry. */
export interface ShareRow {
  readonly weights: 'local' | 'fleet';
  readonly spreadShare: number;
  readonly singleShare: number;
  readonly goodput: number;
}

/**
 * Measures two teams of equal weight, each of which sends twice the capacity in requests. The fair
 * share of each is 0.5.
 */
export function measureShares(
  seed: number,
  chooser = (random: Random): ExecutorChooser => new ReportedLoad(random),
): readonly ShareRow[] {
  return (['local', 'fleet'] as const).map((weights) => measureWeights(weights, seed, chooser));
}

function measureWeights(
  weights: ShareRow['weights'],
  seed: number,
  chooser: (random: Random) => ExecutorChooser,
): ShareRow {
  const executors = Array.from({ length: EXECUTORS }, () => ({
    slots: SLOTS,
    meanMs: MEAN_MS,
    failureRate: 0,
  }));
  const service: Service = { name: 's', executors };
  const simulation = new RequestSimulation({
    entries: ENTRIES,
    services: [service],
    teams: new Map([
      ['spread', 1],
      ['single', 1],
    ]),
    chooser,
    seed,
    publishMs: weights === 'fleet' ? PUBLISH_MS : 0,
  });
  simulation.startPoissonArrivals(OVERLOAD * CAPACITY_PER_S, () => {
    simulation.submit(simulation.random.nextInt(ENTRIES), 's', 'spread', DEADLINE_MS);
  });
  simulation.startPoissonArrivals(OVERLOAD * CAPACITY_PER_S, () => {
    simulation.submit(0, 's', 'single', DEADLINE_MS);
  });
  simulation.time.runUntil(WARM_UP_MS);
  simulation.tally = new Tally();
  simulation.time.runUntil(WARM_UP_MS + RUN_MS);
  const { answered, answeredTotal } = simulation.tally;
  return {
    weights,
    spreadShare: (answered.get('spread') ?? 0) / answeredTotal,
    singleShare: (answered.get('single') ?? 0) / answeredTotal,
    goodput: answeredTotal / ((CAPACITY_PER_S * RUN_MS) / 1_000),
  };
}
