import type { Configuration, Millis, Resources, TaskDecider } from '@turmerichoist/core';

/** One member that may own the pool. `until` is the end of its session on the true clock. */
export interface Member {
  readonly name: string;
  readonly decider: TaskDecider;
  readonly inbox: (() => void)[];
  readonly cursors: Map<string, { readonly incarnation: string; readonly cursor: number }>;
  readonly lastReport: Map<string, Millis>;
  /** When the report that is waited for was requested, by worker. */
  readonly asked: Map<string, Millis>;
  paused: boolean;
  cutOff: boolean;
  until: Millis;
  cfg: Configuration | undefined;
  allowances: ReadonlyMap<string, Resources> | undefined;
}
