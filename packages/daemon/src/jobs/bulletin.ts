import type { ExecutorId } from '@turmerichoist/core';

/** State that the leader stores in its lease row with each renewal, for the other members. */
export interface Bulletin {
  /** Number of jobs per queue of which no task has started. */
  readonly waiting: Readonly<Record<string, number>>;
  /** Executors that may have running tasks. */
  readonly executors: readonly ExecutorId[];
  /** Number of instances per pool before any was lent to another pool; empty until known. */
  readonly poolSizes: Readonly<Record<string, number>>;
  /** Whether the leader may send orders to instances, as its predecessors' no longer conflict. */
  readonly mayOrder: boolean;
}

export const EMPTY_BULLETIN: Bulletin = {
  waiting: {},
  executors: [],
  poolSizes: {},
  mayOrder: false,
};
