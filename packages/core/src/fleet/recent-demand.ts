import type { Millis, PoolName } from '../types/index.js';
import { shareSpare, type PoolLoad, type PoolPlanner } from './pool-planner.js';
import { ReturnHysteresis } from './proportional-borrowing.js';

export interface RecentDemandOptions {
  /** A burst begins when demand exceeds the size by this many instances. */
  readonly burstMargin: number;
  /** Duration of a move. Instances are requested this long before a burst is expected. */
  readonly leadMs: Millis;
  /** Tolerance of the expected burst start, on each side. */
  readonly spreadMs: Millis;
  readonly returnAfterMs: Millis;
  /** Number of past bursts of each pool that are kept. */
  readonly maxBursts: number;
}

const RECENT_DEMAND_DEFAULTS: RecentDemandOptions = {
  burstMargin: 0.25,
  leadMs: 600_000,
  spreadMs: 300_000,
  returnAfterMs: 180_000,
  maxBursts: 5,
};

interface Burst {
  readonly from: Millis;
  readonly peak: number;
}

interface BurstHistory {
  readonly bursts: readonly Burst[];
  readonly active: Burst | undefined;
}

const NO_HISTORY: BurstHistory = { bursts: [], active: undefined };

/**
 * Predicts the time and peak of each pool's next burst from its recent ones, and lends instances
 * ahead of it. Follows demand until it has observed two or more intervals, most of which agree.
 */
export class RecentDemand implements PoolPlanner {
  readonly #options: RecentDemandOptions;
  readonly #hysteresis: ReturnHysteresis;
  readonly #histories = new Map<PoolName, BurstHistory>();

  constructor(options: RecentDemandOptions = RECENT_DEMAND_DEFAULTS) {
    this.#options = options;
    this.#hysteresis = new ReturnHysteresis(options.returnAfterMs);
  }

  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number> {
    const active = new Map<PoolName, number>();
    const anticipated = new Map<PoolName, number>();
    for (const load of loads) {
      this.#recordLoad(load, now);
      const want = excessDemand(load, this.#options.burstMargin);
      active.set(load.pool, want);
      anticipated.set(load.pool, Math.max(0, this.#expectedExcess(load, now) - want));
    }
    const shares = shareSpare(active, spare);
    const used = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const early = shareSpare(anticipated, spare - used);
    return this.#applyHysteresis(loads, shares, early, now);
  }

  #applyHysteresis(
    loads: readonly PoolLoad[],
    shares: ReadonlyMap<PoolName, number>,
    early: ReadonlyMap<PoolName, number>,
    now: Millis,
  ): ReadonlyMap<PoolName, number> {
    const targets = new Map<PoolName, number>();
    for (const load of loads) {
      const extra = (shares.get(load.pool) ?? 0) + (early.get(load.pool) ?? 0);
      targets.set(load.pool, this.#hysteresis.apply(load, load.size + extra, now));
    }
    return targets;
  }

  #recordLoad(load: PoolLoad, now: Millis): void {
    const { burstMargin, maxBursts } = this.#options;
    const history = this.#histories.get(load.pool) ?? NO_HISTORY;
    const want = excessDemand(load, burstMargin);
    const { active, bursts } = history;
    if (want > 0) {
      const from = active?.from ?? now;
      const peak = Math.max(active?.peak ?? 0, want);
      this.#histories.set(load.pool, { bursts, active: { from, peak } });
    } else if (active !== undefined) {
      const next = [...bursts, active].slice(-maxBursts);
      this.#histories.set(load.pool, { bursts: next, active: undefined });
    }
  }

  /** Instances beyond the pool's size that the next burst needs, or 0 if none is due soon. */
  #expectedExcess(load: PoolLoad, now: Millis): number {
    const { leadMs, spreadMs } = this.#options;
    const { bursts } = this.#histories.get(load.pool) ?? NO_HISTORY;
    const interval = typicalInterval(bursts, spreadMs);
    const last = bursts.at(-1);
    if (interval === undefined || last === undefined) {
      return 0;
    }
    const due = last.from + interval;
    const isNear = now >= due - leadMs - spreadMs && now <= due + spreadMs;
    return isNear ? median(bursts.map((burst) => burst.peak)) : 0;
  }
}

function excessDemand(load: PoolLoad, margin: number): number {
  return Math.max(0, Math.ceil(load.demand - load.size - margin));
}

/** The median interval between burst starts, if most intervals are within `spreadMs` of it. */
function typicalInterval(bursts: readonly Burst[], spreadMs: Millis): Millis | undefined {
  const intervals = bursts.slice(1).map((burst, index) => {
    return burst.from - (bursts[index]?.from ?? burst.from);
  });
  if (intervals.length < 2) {
    return undefined;
  }
  const typical = median(intervals);
  const agreeing = intervals.filter((each) => Math.abs(each - typical) <= spreadMs);
  return agreeing.length * 2 > intervals.length ? typical : undefined;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
