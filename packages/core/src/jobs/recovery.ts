import { NO_RESOURCES, add } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName } from '../types/index.js';
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
  /** Those that had not listed all their ended runs before their lease or their instance ended. */
  readonly partlyListed: number;
}

/** Tracks whether all runs of earlier owners are known or have ended. */
export class Recovery {
  readonly #options: RecoveryOptions;
  readonly #executors: ExecutorTable;
  readonly #inherited: ReadonlySet<ExecutorId>;
  /** Executors whose runs are known or have ended since, also those that are not tracked any more. */
  readonly #known = new Set<ExecutorId>();
  /** Executors that have reported, but have not listed all their ended runs. */
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

  /**
   * An executor has reported. `runsKnown`: it has listed all its ended runs. Those that a report leaves
   * out are listed only when the ones before them are acknowledged, and may be `done`.
   */
  reported(id: ExecutorId, runsKnown: boolean): void {
    if (runsKnown) {
      this.#known.add(id);
      this.#partlyListed.delete(id);
    } else {
      this.#partlyListed.add(id);
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

  /** Whether executors may have runs of an earlier owner that they have not reported yet. */
  isPending(now: Millis): boolean {
    return !this.#complete && (this.#isListMissing(now) || this.#someAwaited(now));
  }

  /** Number of executors that adopted tasks wait for. */
  awaitedExecutors(now: Millis): number {
    return this.isPending(now) ? this.#awaited(now).length : 0;
  }

  /**
   * Capacity of the executors, by pool, on which runs of an earlier owner may go on that no report has listed.
   * Undefined if it is not known, since one of them is not described. A report lists all that runs,
   * also one that leaves ended runs out.
   */
  unreportedCapacity(now: Millis): ReadonlyMap<PoolName, Resources> | undefined {
    const capacity = new Map<PoolName, Resources>();
    if (!this.isPending(now)) {
      return capacity;
    }
    if (this.#isListMissing(now)) {
      return undefined;
    }
    for (const id of this.#awaited(now)) {
      const state = this.#executors.get(id);
      if (state === undefined) {
        return undefined;
      }
      if (state.lastReportAt === undefined) {
        const { pool, capacity: more } = state.info;
        capacity.set(pool, add(capacity.get(pool) ?? NO_RESOURCES, more));
      }
    }
    return capacity;
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
    const runsKnown = state === undefined ? this.#known.has(id) : state.runsKnown;
    if (runsKnown || this.#hasEnded(id)) {
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
      const reported = new Set([...this.#known, ...this.#partlyListed]).size;
      this.#summary = { reported, partlyListed: this.#partlyListed.size };
    }
    return over;
  }
}
