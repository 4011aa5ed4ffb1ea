import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { ExecutorId } from './model.js';

export interface TakeoverRecoveryOptions {
  /**
   * Monotonic time until which an executor that has not reported may still run tasks of an earlier
   * owner, unless this owner extends its lease.
   */
  readonly recoveryEndsAt: Millis;
  /** Executors on which an earlier owner may have started tasks. */
  readonly inheritedExecutors?: readonly ExecutorId[];
}

/** Tells whether executors may still run tasks of earlier owners that this owner does not know. */
export class TakeoverRecovery {
  readonly #endsAt: Millis;
  readonly #inherited: readonly ExecutorId[];
  readonly #executors: ExecutorTable;
  #listReceived = false;
  #complete = false;

  constructor(options: TakeoverRecoveryOptions, executors: ExecutorTable) {
    this.#endsAt = options.recoveryEndsAt;
    this.#inherited = options.inheritedExecutors ?? [];
    this.#executors = executors;
  }

  /** Inherited executors, as long as they may have runs that this owner does not know. */
  get inherited(): readonly ExecutorId[] {
    return this.#complete ? [] : this.#inherited;
  }

  /** The platform's list of executors has been received. */
  onListed(): void {
    this.#listReceived = true;
  }

  /** Whether some runs of earlier owners may be unknown. Once it is false, it stays false. */
  isRecovering(now: Millis): boolean {
    this.#complete ||= !this.#someUnheard(now);
    return !this.#complete;
  }

  #someUnheard(now: Millis): boolean {
    const timeLeft = now < this.#endsAt;
    if (timeLeft && (!this.#listReceived || this.#someInheritedUnheard())) {
      return true;
    }
    for (const { hasReported, leaseEndsAt } of this.#executors.all()) {
      // A lease that this owner has extended keeps the runs of earlier owners going.
      if (!hasReported && (timeLeft || leaseEndsAt > now)) {
        return true;
      }
    }
    return false;
  }

  /** An executor that the platform no longer lists may still have runs. */
  #someInheritedUnheard(): boolean {
    return this.#inherited.some((id) => this.#executors.get(id)?.hasReported !== true);
  }
}
