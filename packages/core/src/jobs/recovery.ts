import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { ExecutorId } from './model.js';

export interface RecoveryOptions {
  /**
   * Monotonic time until which an executor that has not reported may still run tasks of an earlier
   * owner.
   */
  readonly recoveryEndsAt: Millis;
  /** Executors on which an earlier owner may have started tasks. */
  readonly inheritedExecutors?: readonly ExecutorId[];
}

/** Tells when all runs of earlier owners are known or have ended. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #executors: ExecutorTable;
  #complete = false;

  constructor(options: RecoveryOptions, executors: ExecutorTable) {
    this.#options = options;
    this.#executors = executors;
  }

  /** Whether its end has been taken note of. */
  get complete(): boolean {
    return this.#complete;
  }

  /** Executors of earlier owners that may have runs which are not known yet. */
  get inheritedExecutors(): readonly ExecutorId[] {
    return this.#complete ? [] : (this.#options.inheritedExecutors ?? []);
  }

  /** Takes note of its end. Returns whether it has ended since the last call. */
  takeEnd(now: Millis): boolean {
    const ended = this.hasEnded(now);
    this.#complete ||= ended;
    return ended;
  }

  /** Whether it has ended, and its end has not been taken note of. */
  hasEnded(now: Millis): boolean {
    return !this.#complete && !this.isRunning(now);
  }

  /** Whether executors that have not reported yet may still run tasks of an earlier owner. */
  isRunning(now: Millis): boolean {
    if (this.#complete || now >= this.#options.recoveryEndsAt) {
      return false;
    }
    // An executor that the platform no longer lists may still have runs.
    return (
      this.inheritedExecutors.some((id) => this.#executors.get(id)?.hasReported !== true) ||
      this.#executors.someUnreported
    );
  }
}
