import { dominantShare, NO_RESOURCES } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis } from '../types/index.js';
import type { ExecutorId } from './model.js';
import type { TaskNeed } from './start-group.js';

/** Refusals of tasks that would end too late after which a round stops filling reserved executors. */
const MAX_BACKFILL_REFUSALS = 200;

/** What a round must know about the reservation of an executor. */
export interface HeldExecutor {
  /** Resources of the task that it is reserved for. */
  readonly resources: Resources;
  /** Monotonic time at which that task is expected to find room. */
  readonly availableAt: Millis;
}

export interface ReservedCapacityOptions {
  /** Maximum of each resource over the capacities of the pool's executors. */
  readonly largest: Resources;
  readonly now: Millis;
  /** Whether the round tries smaller tasks, which costs time for each waiting group. */
  readonly backfill: boolean;
}

/**
 * Decides in one round which tasks may start on reserved executors: lasting tasks; tasks that are not
 * smaller than the one that waits, which the order of service has put first; and tasks that are
 * expected to end before that one finds room (backfill).
 */
export class ReservedCapacity {
  static readonly NONE = new ReservedCapacity(new Map(), {
    largest: NO_RESOURCES,
    now: 0,
    backfill: false,
  });

  readonly #held: ReadonlyMap<ExecutorId, HeldExecutor>;
  readonly #options: ReservedCapacityOptions;
  /** Size of the smallest task that an executor was reserved for when the round began. */
  readonly #minSize: number;
  #refusals = 0;

  constructor(held: ReadonlyMap<ExecutorId, HeldExecutor>, options: ReservedCapacityOptions) {
    this.#held = held;
    this.#options = options;
    const sizes = [...held.values()].map(({ resources }) => this.sizeOf(resources));
    this.#minSize = Math.min(...sizes);
  }

  has(executor: ExecutorId): boolean {
    return this.#held.has(executor);
  }

  /** Largest fraction of a resource of the pool's largest executor that a task takes. */
  sizeOf(resources: Resources): number {
    return dominantShare(resources, this.#options.largest);
  }

  /** Whether a task may start on any reserved executor if it is short enough. */
  mayAdmitAny(need: TaskNeed): boolean {
    return need.lasting || this.#fillsNow || this.sizeOf(need.resources) >= this.#minSize;
  }

  /** Whether a task may start there if it is short enough. */
  mayAdmit(executor: ExecutorId, need: TaskNeed): boolean {
    const held = this.#held.get(executor);
    return (
      held === undefined ||
      this.#hasPriority(need, held) ||
      (this.#fillsNow && held.availableAt > this.#options.now)
    );
  }

  /** Whether a task that is expected to end at `endsAt` may start there. */
  admits(executor: ExecutorId, need: TaskNeed, endsAt: Millis): boolean {
    const held = this.#held.get(executor);
    if (held === undefined || this.#hasPriority(need, held)) {
      return true;
    }
    if (!this.#fillsNow) {
      return false;
    }
    const admitted = endsAt <= held.availableAt;
    this.#refusals += admitted ? 0 : 1;
    return admitted;
  }

  #hasPriority(need: TaskNeed, { resources }: HeldExecutor): boolean {
    return need.lasting || this.sizeOf(need.resources) >= this.sizeOf(resources);
  }

  get #fillsNow(): boolean {
    return this.#options.backfill && this.#refusals < MAX_BACKFILL_REFUSALS;
  }
}
