import type { ExecutorId } from '@turmerichoist/core';

/** What a leader publishes with each renewal of its lease. */
export interface Bulletin {
  /** Jobs of each queue for which no task has started. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Executors that may run something. */
  readonly executors: readonly ExecutorId[];
  /** Sizes of pools before anything was lent; empty until they are known. */
  readonly poolSizes: Readonly<Record<string, number>>;
  /** Whether the leader has waited out the orders of its predecessors to instances. */
  readonly mayOrder: boolean;
}

export const EMPTY_BULLETIN: Bulletin = {
  waiting: {},
  executors: [],
  poolSizes: {},
  mayOrder: false,
};
