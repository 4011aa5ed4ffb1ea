import type { Millis } from '../types/index.js';

/** Weight of the newest start in the moving averages. */
const NEWEST_WEIGHT = 0.05;

/** A start of a finite task. */
export interface TaskStart {
  /** Largest fraction of a resource that it takes of the largest executor. */
  readonly size: number;
  readonly expectedMs: Millis;
  /** Whether its job can still have value. */
  readonly valuable: boolean;
}

/** Moving averages over the finite tasks that a pool has started. */
export class PoolStarts {
  #count = 0;
  #meanSize = 0;
  #meanMs: Millis = 0;
  #lastAt: Millis = -Infinity;
  #lastValuableAt: Millis = -Infinity;

  record({ size, expectedMs, valuable }: TaskStart, now: Millis): void {
    this.#count += 1;
    // The first starts have equal weight, later ones a fixed weight.
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.#count);
    this.#meanSize += weight * (size - this.#meanSize);
    this.#meanMs += weight * (expectedMs - this.#meanMs);
    this.#lastAt = now;
    if (valuable) {
      this.#lastValuableAt = now;
    }
  }

  /** Mean size; 0 before the first start. */
  get meanSize(): number {
    return this.#meanSize;
  }

  /** Mean expected duration. */
  get meanMs(): Millis {
    return this.#meanMs;
  }

  /** Monotonic time of the latest start; `-Infinity` before the first one. */
  get lastAt(): Millis {
    return this.#lastAt;
  }

  /** The same of a job that could still have value then. */
  get lastValuableAt(): Millis {
    return this.#lastValuableAt;
  }
}
