import type { Millis } from '../types/index.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
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
  /** Executors of the instances in the latest list that this owner has requested. */
  #onInstances: ReadonlySet<ExecutorId> | undefined;
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

  /** Takes a list of all instances; an empty one tells nothing. */
  setInstances(instances: readonly PoolInstance[]): void {
    if (instances.length > 0) {
      const alive = instances.filter(({ state }) => state === 'up' || state === 'down');
      this.#onInstances = new Set(alive.flatMap(({ executor }) => executor ?? []));
    }
  }

  /** Whether executors that have not reported yet may still run tasks of an earlier owner. */
  isPending(now: Millis): boolean {
    if (this.#complete || now >= this.#options.recoveryEndsAt) {
      return false;
    }
    return !this.#listed || this.#someInheritedMayRun() || this.#someListedMayRun();
  }

  /** Number of executors that adopted tasks wait for. */
  awaitedExecutors(now: Millis): number {
    if (!this.isPending(now)) {
      return 0;
    }
    const listed = [...this.#executors.all()].map(({ info }) => info.id);
    const ids = new Set([...(this.#options.inheritedExecutors ?? []), ...listed]);
    return [...ids].filter((id) => this.#mayRun(id, this.#executors.get(id))).length;
  }

  /** Completes the recovery if it is over. Returns true once. */
  completeIfOver(now: Millis): boolean {
    if (this.#complete || this.isPending(now)) {
      return false;
    }
    this.#complete = true;
    return true;
  }

  /** An executor that the platform no longer lists may still have runs. */
  #someInheritedMayRun(): boolean {
    const inherited = this.#options.inheritedExecutors ?? [];
    return inherited.some((id) => this.#mayRun(id, this.#executors.get(id)));
  }

  #someListedMayRun(): boolean {
    for (const state of this.#executors.all()) {
      if (this.#mayRun(state.info.id, state)) {
        return true;
      }
    }
    return false;
  }

  /**
   * Whether an executor may have runs that are not known. An executor ends with its instance, so it
   * has none if no instance has it any more, and it is not registered or does not answer either.
   */
  #mayRun(id: ExecutorId, state: ExecutorState | undefined): boolean {
    if (state?.hasReported === true) {
      return false;
    }
    const gone = this.#onInstances?.has(id) === false;
    const unreachable = state?.listed !== true || state.lastUnansweredAt > -Infinity;
    return !(gone && unreachable);
  }
}
