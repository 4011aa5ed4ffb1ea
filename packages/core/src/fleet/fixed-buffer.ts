import type { PoolName } from '../types/index.js';
import { shareSpare, type PoolLoad, type PoolPlanner } from './pool-planner.js';

/** Lends each pool a constant number of instances beyond its size, regardless of demand. */
export class FixedBuffer implements PoolPlanner {
  readonly #buffer: number;

  /** @param buffer Instances beyond the size of each pool. */
  constructor(buffer: number) {
    this.#buffer = buffer;
  }

  targets(loads: readonly PoolLoad[], spare: number): ReadonlyMap<PoolName, number> {
    const wants = new Map(loads.map((load) => [load.pool, this.#buffer]));
    const shares = shareSpare(wants, spare);
    return new Map(loads.map((load) => [load.pool, load.size + (shares.get(load.pool) ?? 0)]));
  }
}
