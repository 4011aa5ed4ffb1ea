import type { Configuration, Millis, Resources, TaskDecider } from '@turmerichoist/core';

/** A member that may own the pool. `until` is the end of its session on the simulation clock. */
export interface Member {
  readonly name: string;
  readonly decider: TaskDecider;
  readonly inbox: (() => void)[];
  readonly cursors: Map<string, { readonly incarnation: string; readonly cursor: number }>;
  readonly lastReport: Map<string, Millis>;
  /** Request times of the reports in flight, by worker. */
  readonly pendingReports: Map<string, Millis>;
  paused: boolean;
  partitioned: boolean;
  until: Millis;
  cfg: Configuration | undefined;
  allowances: ReadonlyMap<string, Resources> | undefined;
}
