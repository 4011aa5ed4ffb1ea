import type { Millis, PoolName } from '../types/index.js';
import { shareSpare, type PoolLoad, type PoolPlanner } from './pool-planner.js';

export interface BorrowingOptions {
  /** Demand must exceed the target by this many instances before more are borrowed. */
  readonly slack: number;
  /** Instances are returned when they were not wanted for this long. */
  readonly returnAfterMs: Millis;
}

export const BORROWING_DEFAULTS: BorrowingOptions = {
  slack: 0.25,
  // A move costs a drain and a reboot, so returning sooner than that only adds moves.
  returnAfterMs: 600_000,
};

/** Lends spare instances in proportion to the demand beyond each pool's size. */
export class ProportionalBorrowing implements PoolPlanner {
  readonly #options: BorrowingOptions;
  readonly #hysteresis: ReturnHysteresis;

  constructor(options: BorrowingOptions = BORROWING_DEFAULTS) {
    this.#options = options;
    this.#hysteresis = new ReturnHysteresis(options.returnAfterMs);
  }

  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number> {
    const wants = new Map(loads.map((load) => [load.pool, this.#want(load)]));
    const shares = shareSpare(wants, spare);
    const targets = new Map<PoolName, number>();
    for (const load of loads) {
      const wanted = load.size + (shares.get(load.pool) ?? 0);
      targets.set(load.pool, this.#hysteresis.apply(load, wanted, now));
    }
    return targets;
  }

  #want(load: PoolLoad): number {
    return Math.max(0, Math.ceil(load.demand - load.size - this.#options.slack));
  }
}

/** Lets a target rise at once and fall only after a time, so that moves don't follow noise. */
export class ReturnHysteresis {
  readonly #returnAfterMs: Millis;
  readonly #lowSince = new Map<PoolName, Millis>();

  constructor(returnAfterMs: Millis) {
    this.#returnAfterMs = returnAfterMs;
  }

  /** The target to follow, given the one wanted now. */
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
