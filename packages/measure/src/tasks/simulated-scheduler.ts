import type { Millis } from '@turmerichoist/core';
import type { WorkloadTask } from './workload.js';

/** Scheduler and fleet that the measurement submits tasks to. */
export interface SimulatedScheduler {
  submit(task: WorkloadTask): void;
  step(ms: Millis): void;
  /** Fraction of the fleet that each team holds of its dominant resource, by team index. */
  dominantShares(): readonly number[];
  /** Number of waiting tasks of each team, by team index. */
  waitingCounts(): readonly number[];
}
