import type { Millis, PoolName } from '../types/index.js';
import { shareSpare, type PoolLoad, type PoolPlanner } from './pool-planner.js';

export interface BorrowingOptions {
  /** Demand beyond the pool's size that is tolerated without borrowing, in instances. */
  readonly slack: number;
  /** Instances are returned after not being needed for this long. */
  readonly returnAfterMs: Millis;
}

const BORROWING_DEFAULTS: BorrowingOptions = {
  slack: 0.25,
  // Every move costs a drain and a reboot, so returning instances sooner than that only adds moves.
  returnAfterMs: 600_000,
};

/** Lends spare instances in proportion to each pool's demand beyond its size. */
export class ProportionalBorrowing implements PoolPlanner {
  readonly #options: BorrowingOptions;
  readonly #hysteresis: ReturnHysteresis;

  constructor(options: BorrowingOptions = BORROWING_DEFAULTS) {
    this.#options = options;
    this.#hysteresis = new ReturnHysteresis(options.returnAfterMs);
  }

  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number> {
    const wants = new Map(loads.map((load) => [load.pool, this.#excessDemand(load)]));
    const shares = shareSpare(wants, spare);
    const targets = new Map<PoolName, number>();
    for (const load of loads) {
      const wanted = load.size + (shares.get(load.pool) ?? 0);
      targets.set(load.pool, this.#hysteresis.apply(load, wanted, now));
    }
    return targets;
  }

  #excessDemand(load: PoolLoad): number {
    return Math.max(0, Math.ceil(load.demand - load.size - this.#options.slack));
  }
}

/** Raises a target at once and lowers it only after a delay, so that moves don't follow noise. */
export class ReturnHysteresis {
  readonly #returnAfterMs: Millis;
  readonly #lowSince = new Map<PoolName, Millis>();

  constructor(returnAfterMs: Millis) {
    this.#returnAfterMs = returnAfterMs;
  }

  /** Returns the target to use, given the one computed from the current demand. */
  apply(load: PoolLoad, wanted: number, now: Millis): number {
    if (wanted >= load.instances) {
      this.#lowSince.delete(load.pool);
      return wanted;
    }
    const since = this.#lowSince.get(load.pool) ?? now;
    this.#lowSince.set(load.pool, since);
    return now - since >= this.#returnAfterMs ? wanted : load.instances;
  }
}
