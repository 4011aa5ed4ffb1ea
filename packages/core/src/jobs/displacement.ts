import type { Millis, ZoneName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorId, TaskRef } from './model.js';
import { candidatesOf, PlacementRound } from './placement.js';
import type { Run } from './run-table.js';

/** Whether lasting tasks that planned work displaces have somewhere to go. */
export class Displacement {
  readonly #tables: CellTables;

  constructor(tables: CellTables) {
    this.#tables = tables;
  }

  /** Whether another executor could take the task of a run now. */
  hasRoom(run: Run, zonesOut: ReadonlySet<ZoneName>, now: Millis): boolean {
    return this.#fits(run.task, run.executor, zonesOut, now);
  }

  /** Whether tasks of a step wait that no executor can take now. */
  isStranded(task: TaskRef, zonesOut: ReadonlySet<ZoneName>, now: Millis): boolean {
    const waiting = this.#tables.jobs.step(task)?.pending.size ?? 0;
    return waiting > 0 && !this.#fits(task, undefined, zonesOut, now);
  }

  #fits(
    task: TaskRef,
    without: ExecutorId | undefined,
    zonesOut: ReadonlySet<ZoneName>,
    now: Millis,
  ): boolean {
    const { jobs, executors, runs } = this.#tables;
    const job = jobs.get(task.jobId);
    const step = jobs.step(task);
    if (job === undefined || step === undefined) {
      return false;
    }
    const candidates = candidatesOf(executors, job.policy.pool, zonesOut, now).filter(
      ({ info }) => info.id !== without,
    );
    const counts = new Map<ExecutorId, number>();
    for (const run of runs.ofJob(task.jobId)) {
      if (run.task.occurrence === task.occurrence && run.task.step === task.step) {
        counts.set(run.executor, (counts.get(run.executor) ?? 0) + 1);
      }
    }
    const { spec, need } = step;
    const round = new PlacementRound(executors, runs, candidates);
    return round.choose({ spec, need, endsAt: Infinity }, counts) !== undefined;
  }
}
