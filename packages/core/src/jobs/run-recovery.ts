import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { PoolInstance } from './messages.js';
import type { ExecutorId } from './model.js';

/**
 * Decides when a new owner knows all runs that earlier owners have left. Until then, a task without
 * a known run may still be running on an executor that has not reported yet.
 */
export class RunRecovery {
  readonly #executors: ExecutorTable;
  readonly #inherited: readonly ExecutorId[];
  readonly #endsAt: Millis;
  /**
   * Executors of the instances as this owner first listed them. Any other executor had ended before
   * or began after that list, so it has no runs of earlier owners.
   */
  #eligible: ReadonlySet<ExecutorId> | undefined;
  #complete = false;

  /**
   * `inherited`: executors on which an earlier owner may have started tasks. `endsAt`: monotonic
   * time by which runs that are not reported have ended.
   */
  constructor(executors: ExecutorTable, inherited: readonly ExecutorId[], endsAt: Millis) {
    this.#executors = executors;
    this.#inherited = inherited;
    this.#endsAt = endsAt;
  }

  /** Executors of earlier owners that may still have runs. */
  get inherited(): readonly ExecutorId[] {
    return this.#complete ? [] : this.#inherited;
  }

  setInstances(instances: readonly PoolInstance[]): void {
    if (this.#eligible === undefined && instances.length > 0) {
      this.#eligible = new Set(
        instances.map(({ executor }) => executor).filter((id) => id !== undefined),
      );
    }
  }

  /** Returns true once, at the first call at which all runs of earlier owners are known. */
  completes(now: Millis): boolean {
    if (this.#complete || this.isRecovering(now)) {
      return false;
    }
    this.#complete = true;
    return true;
  }

  /** Whether executors that have not reported yet may still run tasks of an earlier owner. */
  isRecovering(now: Millis): boolean {
    if (this.#complete || now >= this.#endsAt) {
      return false;
    }
    // An executor that the platform does not list in the store may still have runs.
    const reported = (id: ExecutorId): boolean => this.#executors.get(id)?.hasReported === true;
    const unreported = (id: ExecutorId): boolean =>
      !reported(id) && this.#eligible?.has(id) !== false;
    return (
      this.#inherited.some(unreported) || this.#executors.infos.some(({ id }) => unreported(id))
    );
  }
}
