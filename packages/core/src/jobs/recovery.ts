import type { Millis } from '../types/index.js';
import type { ExecutorTable } from './executor-table.js';
import type { PoolInstance } from './messages.js';
import type { ExecutorId } from './model.js';

export interface RecoveryOptions {
  /**
   * Monotonic time until which an executor that has not reported may still run tasks of an earlier
   * owner, unless this owner extends its lease.
   */
  readonly recoveryEndsAt: Millis;
  /** Executors on which an earlier owner may have started tasks. */
  readonly inheritedExecutors?: readonly ExecutorId[];
}

/** What the first list of instances tells about executors. */
interface FirstList {
  /** Executors of the instances that were up or down. */
  readonly executors: ReadonlySet<ExecutorId>;
  /** Whether each of those instances named its executor. */
  readonly complete: boolean;
}

/** A recovery that is over, for the log. */
export interface RecoverySummary {
  /** Executors that had reported when it ended. */
  readonly reported: number;
  /** Those whose latest report by then left ended runs out. */
  readonly partlyListed: number;
}

/** Tracks whether all runs of earlier owners are known or have ended. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #executors: ExecutorTable;
  readonly #inherited: ReadonlySet<ExecutorId>;
  /** Executors whose runs are known or have ended since, also those that are not tracked any more. */
  readonly #reported = new Set<ExecutorId>();
  /** Executors whose latest report may leave out runs that have ended. */
  readonly #partlyListed = new Set<ExecutorId>();
  #listed = false;
  #firstList: FirstList | undefined;
  #complete = false;
  #summary: RecoverySummary | undefined;

  constructor(options: RecoveryOptions, executors: ExecutorTable) {
    this.#options = options;
    this.#executors = executors;
    this.#inherited = new Set(options.inheritedExecutors);
  }

  /** Executors that are not known to have been free of an earlier owner's runs. */
  get inheritedExecutors(): readonly ExecutorId[] {
    return this.#complete ? [] : [...this.#inherited];
  }

  /** An executor has reported its runs. `moreEnded`: more of them may have ended than it lists. */
  reported(id: ExecutorId, moreEnded: boolean): void {
    this.#reported.add(id);
    if (moreEnded) {
      this.#partlyListed.add(id);
    } else {
      this.#partlyListed.delete(id);
    }
  }

  /** What was known when the recovery ended; undefined before. */
  get summary(): RecoverySummary | undefined {
    return this.#summary;
  }

  /** The platform's list of executors is known. */
  executorsListed(): void {
    this.#listed = true;
  }

  /**
   * Takes a list of the instances that are switched on, which this owner has requested. Only the
   * first one counts, and an empty one tells nothing.
   */
  instancesListed(instances: readonly PoolInstance[]): void {
    if (this.#firstList === undefined && instances.length > 0) {
      const alive = instances.filter(({ state }) => state === 'up' || state === 'down');
      this.#firstList = {
        executors: new Set(alive.flatMap(({ executor }) => executor ?? [])),
        complete: alive.every(({ executor }) => executor !== undefined),
      };
    }
  }

  /** Whether executors that have not reported yet may still run tasks of an earlier owner. */
  isPending(now: Millis): boolean {
    return !this.#complete && (this.#isListMissing(now) || this.#someAwaited(now));
  }

  /** Number of executors that adopted tasks wait for. */
  awaitedExecutors(now: Millis): number {
    return this.isPending(now) ? this.#awaited(now).length : 0;
  }

  #someAwaited(now: Millis): boolean {
    for (const id of this.#inherited) {
      if (this.#mayHaveUnknownRuns(id, now)) {
        return true;
      }
    }
    return this.#executors.infos.some(({ id }) => this.#mayHaveUnknownRuns(id, now));
  }

  /** An executor that the platform no longer lists in the store may still have runs. */
  #awaited(now: Millis): readonly ExecutorId[] {
    const known = this.#executors.infos.map(({ id }) => id);
    return [...new Set([...this.#inherited, ...known])].filter((id) =>
      this.#mayHaveUnknownRuns(id, now),
    );
  }

  #isListMissing(now: Millis): boolean {
    return !this.#listed && now < this.#options.recoveryEndsAt;
  }

  #mayHaveUnknownRuns(id: ExecutorId, now: Millis): boolean {
    const state = this.#executors.get(id);
    const reported = state === undefined ? this.#reported.has(id) : state.hasReported;
    if (reported || this.#hasEnded(id)) {
      return false;
    }
    // A lease that this owner has extended keeps the runs of earlier owners going.
    return now < this.#options.recoveryEndsAt || (state?.leaseEndsAt ?? -Infinity) > now;
  }

  /**
   * Whether an executor had ended before the first list of instances, or began after it: in either
   * case it has no runs of earlier owners. An instance of the list without an executor may still
   * have one that is registered and has not failed to answer.
   */
  #hasEnded(id: ExecutorId): boolean {
    if (this.#firstList === undefined || this.#firstList.executors.has(id)) {
      return false;
    }
    const state = this.#executors.get(id);
    return (
      this.#firstList.complete ||
      !this.#inherited.has(id) ||
      state?.listed !== true ||
      state.lastUnansweredAt > -Infinity
    );
  }

  /** Whether the recovery is over, and has not been completed. */
  isOver(now: Millis): boolean {
    return !this.#complete && !this.isPending(now);
  }

  /** Completes the recovery if it is over. Returns true once. */
  completeIfOver(now: Millis): boolean {
    const over = this.isOver(now);
    if (over) {
      this.#complete = true;
      this.#summary = { reported: this.#reported.size, partlyListed: this.#partlyListed.size };
    }
    return over;
  }
}
