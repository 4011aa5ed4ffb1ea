import type { Millis, PoolName } from '../types/index.js';
import { shareSpare, type PoolLoad, type PoolPlanner } from './pool-planner.js';
import { ReturnHysteresis } from './proportional-borrowing.js';

export interface RecentDemandOptions {
  /** A burst begins when demand exceeds the size by this many instances. */
  readonly burstMargin: number;
  /** Time that a move takes; instances are requested this long before a burst is expected. */
  readonly leadMs: Millis;
  /** Spread of burst starts around the expected time that is still covered, on each side. */
  readonly spreadMs: Millis;
  readonly returnAfterMs: Millis;
  /** Bursts that are remembered. */
  readonly memory: number;
}

export const RECENT_DEMAND_DEFAULTS: RecentDemandOptions = {
  burstMargin: 0.25,
  leadMs: 600_000,
  spreadMs: 300_000,
  returnAfterMs: 180_000,
  memory: 5,
};

interface Burst {
  readonly from: Millis;
  readonly peak: number;
}

interface History {
  readonly bursts: readonly Burst[];
  readonly active: Burst | undefined;
}

const NO_HISTORY: History = { bursts: [], active: undefined };

/**
 * Learns when each pool bursts and how high from its recent bursts, and lends ahead of the next one.
 * Until it has seen two intervals that agree, it follows demand.
 */
export class RecentDemand implements PoolPlanner {
  readonly #options: RecentDemandOptions;
  readonly #hysteresis: ReturnHysteresis;
  readonly #histories = new Map<PoolName, History>();

  constructor(options: RecentDemandOptions = RECENT_DEMAND_DEFAULTS) {
    this.#options = options;
    this.#hysteresis = new ReturnHysteresis(options.returnAfterMs);
  }

  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number> {
    const active = new Map<PoolName, number>();
    const ahead = new Map<PoolName, number>();
    for (const load of loads) {
      this.#learn(load, now);
      const want = excessOf(load, this.#options.burstMargin);
      active.set(load.pool, want);
      ahead.set(load.pool, Math.max(0, this.#expected(load, now) - want));
    }
    const shares = shareSpare(active, spare);
    const used = [...shares.values()].reduce((sum, share) => sum + share, 0);
    const early = shareSpare(ahead, spare - used);
    return this.#smooth(loads, shares, early, now);
  }

  #smooth(
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

  #learn(load: PoolLoad, now: Millis): void {
    const { burstMargin, memory } = this.#options;
    const history = this.#histories.get(load.pool) ?? NO_HISTORY;
    const want = excessOf(load, burstMargin);
    const { active, bursts } = history;
    if (want > 0) {
      const from = active?.from ?? now;
      const peak = Math.max(active?.peak ?? 0, want);
      this.#histories.set(load.pool, { bursts, active: { from, peak } });
    } else if (active !== undefined) {
      const next = [...bursts, active].slice(-memory);
      this.#histories.set(load.pool, { bursts: next, active: undefined });
    }
  }

  /** Instances beyond the size that the next burst needs, if it is due soon. */
  #expected(load: PoolLoad, now: Millis): number {
    const { leadMs, spreadMs } = this.#options;
    const { bursts } = this.#histories.get(load.pool) ?? NO_HISTORY;
    const interval = usualInterval(bursts, spreadMs);
    const last = bursts.at(-1);
    if (interval === undefined || last === undefined) {
      return 0;
    }
    const due = last.from + interval;
    const isNear = now >= due - leadMs - spreadMs && now <= due + spreadMs;
    return isNear ? median(bursts.map((burst) => burst.peak)) : 0;
  }
}

function excessOf(load: PoolLoad, margin: number): number {
  return Math.max(0, Math.ceil(load.demand - load.size - margin));
}

/** The median interval of bursts, if most intervals agree with it. */
function usualInterval(bursts: readonly Burst[], spreadMs: Millis): Millis | undefined {
  const intervals = bursts.slice(1).map((burst, index) => {
    return burst.from - (bursts[index]?.from ?? burst.from);
  });
  if (intervals.length < 2) {
    return undefined;
  }
  const usual = median(intervals);
  const agreeing = intervals.filter((each) => Math.abs(each - usual) <= spreadMs);
  return agreeing.length * 2 > intervals.length ? usual : undefined;
}

function median(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor(sorted.length / 2)] ?? 0;
}
