import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { PoolInstance } from './messages.js';
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

/** Tracks whether all runs of earlier owners are known or have ended. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #executors: ExecutorTable;
  #listed = false;
  /**
   * Executors of the instances as this owner first listed them. Any other executor had ended before
   * that list or began after it, so it has no runs of earlier owners.
   */
  #eligible: ReadonlySet<ExecutorId> | undefined;
  #complete = false;

  constructor(options: RecoveryOptions, executors: ExecutorTable) {
    this.#options = options;
    this.#executors = executors;
  }

  /** Executors that are not known to have been free of an earlier owner's runs. */
  get inheritedExecutors(): readonly ExecutorId[] {
    return this.#complete ? [] : (this.#options.inheritedExecutors ?? []);
  }

  /** The platform's list of executors is known. */
  executorsListed(): void {
    this.#listed = true;
  }

  /** The platform's list of instances is known, as requested by this owner. */
  instancesListed(instances: readonly PoolInstance[]): void {
    if (this.#eligible === undefined && instances.length > 0) {
      const ids = instances.map(({ executor }) => executor);
      this.#eligible = new Set(ids.filter((id) => id !== undefined));
    }
  }

  /** Whether executors that have not reported yet may still run tasks of an earlier owner. */
  isPending(now: Millis): boolean {
    if (this.#complete || now >= this.#options.recoveryEndsAt) {
      return false;
    }
    // An executor that the platform no longer lists in the store may still have runs.
    const inherited = this.#options.inheritedExecutors ?? [];
    const known = this.#executors.infos.map(({ id }) => id);
    return !this.#listed || [...inherited, ...known].some((id) => this.#mayHaveUnknownRuns(id));
  }

  #mayHaveUnknownRuns(id: ExecutorId): boolean {
    return this.#executors.get(id)?.hasReported !== true && this.#eligible?.has(id) !== false;
  }

  /** Completes the recovery if it is over. Returns true once. */
  completeIfOver(now: Millis): boolean {
    if (this.#complete || this.isPending(now)) {
      return false;
    }
    this.#complete = true;
    return true;
  }
}
