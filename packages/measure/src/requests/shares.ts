import { type ExecutorChooser, type Random, ReportedLoad } from '@turmerichoist/core';
import { ENTRIES } from './choosers.js';
import { Fleet, type Service, Tally } from './fleet.js';

const SLOTS = 8;
const EXECUTORS = 8;
const MEAN_MS = 100;
const DEADLINE_MS = 2_000;
const WARM_UP_MS = 5_000;
const RUN_MS = 20_000;
const PUBLISH_MS = 500;
const CAPACITY_PER_S = (EXECUTORS * SLOTS * 1_000) / MEAN_MS;
/** Each team asks for this many times the whole capacity. */
const OVERLOAD = 2;

/** Answered work of a team that uses all entries and of one that uses a single entry. */
export interface ShareRow {
  readonly weights: 'local' | 'fleet';
  readonly spreadShare: number;
  readonly singleShare: number;
  readonly goodput: number;
}

/** Two teams of equal weight, each with twice the capacity in requests. Fair is 0.5 each. */
export function measureShares(
  seed: number,
  chooser = (random: Random): ExecutorChooser => new ReportedLoad(random),
): readonly ShareRow[] {
  return (['local', 'fleet'] as const).map((weights) => measureOne(weights, seed, chooser));
}

function measureOne(
  weights: ShareRow['weights'],
  seed: number,
  chooser: (random: Random) => ExecutorChooser,
): ShareRow {
  const executors = Array.from({ length: EXECUTORS }, () => ({
    slots: SLOTS,
    meanMs: MEAN_MS,
    failing: 0,
  }));
  const service: Service = { name: 's', executors };
  const fleet = new Fleet({
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
  fleet.poisson(OVERLOAD * CAPACITY_PER_S, () => {
    fleet.arrive(fleet.random.nextInt(ENTRIES), 's', 'spread', DEADLINE_MS);
  });
  fleet.poisson(OVERLOAD * CAPACITY_PER_S, () => {
    fleet.arrive(0, 's', 'single', DEADLINE_MS);
  });
  fleet.time.runUntil(WARM_UP_MS);
  fleet.tally = new Tally();
  fleet.time.runUntil(WARM_UP_MS + RUN_MS);
  const { answered, answeredTotal } = fleet.tally;
  return {
    weights,
    spreadShare: (answered.get('spread') ?? 0) / answeredTotal,
    singleShare: (answered.get('single') ?? 0) / answeredTotal,
    goodput: answeredTotal / ((CAPACITY_PER_S * RUN_MS) / 1_000),
  };
}
