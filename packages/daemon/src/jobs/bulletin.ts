import type { ExecutorId, Millis, WorkAheadLane } from '@turmerichoist/core';

/** Numbers of waiting jobs as the leader published them, with how old they were then. */
export interface PublishedCounts {
  /** Number of jobs per queue of which no task has begun; a queue without such jobs is left out. */
  readonly byQueue: Readonly<Record<string, number>>;
  /** Age at publication of the oldest input: all jobs stored before that are counted. */
  readonly ageMs: Millis;
  /** Revision of the configuration that the leader had applied. */
  readonly revision: number;
}

/** When jobs would start that are submitted now, as the leader published it. */
export interface PublishedWorkAhead {
  readonly lanes: readonly WorkAheadLane[];
  /** Age at publication of the oldest input: all jobs stored before that are included. */
  readonly ageMs: Millis;
}

/** State that the leader stores in its lease row with each renewal, for the other members. */
export interface Bulletin {
  /** Absent until the leader has loaded the jobs and a configuration. */
  readonly waiting?: PublishedCounts;
  /** Absent until the leader knows what runs, and in bulletins of versions that publish none. */
  readonly workAhead?: PublishedWorkAhead;
  /** Executors that may have running tasks. */
  readonly executors: readonly ExecutorId[];
  /** Number of instances per pool before any was lent to another pool; empty until known. */
  readonly poolSizes: Readonly<Record<string, number>>;
  /** Whether the leader may send orders to instances, as its predecessors' no longer conflict. */
  readonly mayOrder: boolean;
  /**
   * Whether the announced orders name every instance about which orders may have been sent lately.
   * Absent in bulletins of versions that announce none.
   */
  readonly announcesOrders?: boolean;
}

export const EMPTY_BULLETIN: Bulletin = {
  executors: [],
  poolSizes: {},
  mayOrder: false,
};

/** Returns a bulletin without its counts and times, whose age is known only at their first publication. */
export function withoutCounts(bulletin: Bulletin): Bulletin {
  const { executors, poolSizes, mayOrder, announcesOrders = false } = bulletin;
  return { executors, poolSizes, mayOrder, announcesOrders };
}
