import { add, fitsIn } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorState } from './executor-table.js';
import type { ExecutorId } from './model.js';
import type { Run } from './run-table.js';

interface ExpectedEnd {
  readonly at: Millis;
  readonly freed: Resources;
}

/** Expected ends of runs as of one time, and when they leave room for a task. */
export class RunEnds {
  readonly #tables: Pick<CellTables, 'jobs' | 'runs' | 'executors' | 'durations'>;
  readonly #now: Millis;
  readonly #ends = new Map<ExecutorId, readonly ExpectedEnd[]>();

  constructor(tables: Pick<CellTables, 'jobs' | 'runs' | 'executors' | 'durations'>, now: Millis) {
    this.#tables = tables;
    this.#now = now;
  }

  /** Earliest time at which an executor is expected to have room; `Infinity` if none is known. */
  roomAt(state: ExecutorState, need: Resources): Millis {
    if (!fitsIn(need, state.info.capacity)) {
      return Infinity;
    }
    let free = this.#tables.executors.freeCapacity(state);
    if (fitsIn(need, free)) {
      return this.#now;
    }
    for (const { at, freed } of this.#endsAt(state.info.id)) {
      free = add(free, freed);
      if (fitsIn(need, free)) {
        return at;
      }
    }
    return Infinity;
  }

  #endsAt(executor: ExecutorId): readonly ExpectedEnd[] {
    const known = this.#ends.get(executor);
    if (known !== undefined) {
      return known;
    }
    const ends = this.#tables.runs
      .at(executor)
      .map((run) => ({ at: this.#expectedEnd(run), freed: run.footprint }))
      .sort((a, b) => a.at - b.at);
    this.#ends.set(executor, ends);
    return ends;
  }

  #expectedEnd(run: Run): Millis {
    if (run.phase === 'stopping') {
      return this.#now;
    }
    const { jobs, durations } = this.#tables;
    const job = jobs.get(run.task.jobId);
    const step = job?.step(run.task);
    if (run.lasting || job === undefined || step === undefined) {
      return Infinity;
    }
    // A run of an earlier owner began before it was adopted, so that this time is the latest one.
    const begunAt = run.startedAt ?? run.orderedAt;
    const end = begunAt + durations.expectedMs(job.accepted.queue, step.spec.estimateMs);
    // The longer a run has gone on beyond its estimate, the longer it is likely to go on.
    return end >= this.#now ? end : this.#now + (this.#now - end);
  }
}
