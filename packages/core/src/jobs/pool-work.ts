import { NO_RESOURCES, add, scale } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, QueueName, TeamName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { Job } from './job.js';
import { footprint } from './model.js';
import { latenessOf } from './ordering.js';
import type { Run } from './run-table.js';

/** Part of a queue's jobs up to whose size a job counts as usual there. */
const USUAL_PART = 0.95;
/** Size classes for each doubling of the work of a job. */
const CLASSES_PER_DOUBLING = 2;
/** Above the class of any work. */
const MAX_SIZES = 4_096;
/** Class of jobs that have started, which are served before all others of their priority. */
export const STARTED = 0;

/** What the order of jobs depends on, besides the team. */
export interface WorkRank {
  readonly priority: number;
  /** Class of the processor time that the job's pending tasks need; `STARTED` if it has started. */
  readonly size: number;
  readonly inTime: boolean;
}

/** Work of waiting tasks, the product of resources and milliseconds. */
export interface WaitingWork extends WorkRank {
  readonly work: Resources;
}

/** What one team has in a pool. */
export interface TeamWork {
  readonly running: Resources;
  /** What the pending tasks of ready steps need. */
  readonly ready: Resources;
  readonly runningWork: Resources;
  /** Of jobs that can still have value. */
  readonly waiting: readonly WaitingWork[];
}

export interface PoolWork {
  readonly teams: ReadonlyMap<TeamName, TeamWork>;
  /** Class of the largest usual jobs of each queue. */
  readonly usualSizes: ReadonlyMap<QueueName, number>;
}

/** Adds up the finite work in a pool by team, in time in proportion to its open jobs and runs. */
export function collectPoolWork(tables: CellTables, pool: PoolName, now: Millis): PoolWork {
  const collector = new Collector(tables, now);
  for (const job of tables.jobs.openJobsIn(pool)) {
    // Jobs without value are served after those that are submitted now.
    const lateness = job.lasting ? 'worthless' : latenessOf(job, now);
    if (lateness !== 'worthless') {
      collector.addJob(job, lateness === 'in-time');
    }
  }
  for (const { info } of tables.executors.ofPool(pool)) {
    tables.runs.at(info.id).forEach((run) => {
      collector.addRun(run);
    });
  }
  return collector.result;
}

interface TeamSums {
  running: Resources;
  ready: Resources;
  runningWork: Resources;
  readonly waiting: Map<number, WaitingWork>;
}

class Collector {
  readonly #tables: CellTables;
  readonly #now: Millis;
  readonly #teams = new Map<TeamName, TeamSums>();
  /** Number of jobs by queue and size class. */
  readonly #sizes = new Map<QueueName, Map<number, number>>();

  constructor(tables: CellTables, now: Millis) {
    this.#tables = tables;
    this.#now = now;
  }

  get result(): PoolWork {
    const teams = [...this.#teams].map(([team, sums]) => {
      const work: TeamWork = { ...sums, waiting: [...sums.waiting.values()] };
      return [team, work] as const;
    });
    const usualSizes = [...this.#sizes].map(([queue, sizes]) => [queue, usualSize(sizes)] as const);
    return { teams: new Map(teams), usualSizes: new Map(usualSizes) };
  }

  addJob(job: Job, inTime: boolean): void {
    const { team, queue } = job.accepted;
    const sums = this.#sumsOf(team);
    const waiting = this.#waitingWork(job);
    const size = sizeClass(waiting.processors);
    const sizes = this.#sizes.get(queue) ?? new Map<number, number>();
    this.#sizes.set(queue, sizes.set(size, (sizes.get(size) ?? 0) + 1));
    const rank = {
      priority: job.policy.priority,
      size: job.state === 'running' ? STARTED : size,
      inTime,
    };
    const key = (rank.priority * MAX_SIZES + rank.size) * 2 + (inTime ? 1 : 0);
    const known = sums.waiting.get(key)?.work ?? NO_RESOURCES;
    sums.waiting.set(key, { ...rank, work: add(known, waiting) });
    for (const { step } of job.ready(this.#now)) {
      sums.ready = add(sums.ready, scale(step.need.resources, step.pending.size));
    }
  }

  addRun(run: Run): void {
    if (run.lasting || run.phase === 'stopping') {
      return;
    }
    const sums = this.#sumsOf(run.team);
    sums.running = add(sums.running, run.footprint);
    const { jobs, durations } = this.#tables;
    const job = jobs.get(run.task.jobId);
    const step = job?.step(run.task);
    if (job !== undefined && step !== undefined) {
      const expectedMs = durations.expectedMs(job.accepted.queue, step.spec.estimateMs);
      const leftMs = Math.max(0, expectedMs - (this.#now - (run.startedAt ?? run.orderedAt)));
      sums.runningWork = add(sums.runningWork, scale(run.footprint, leftMs));
    }
  }

  #waitingWork({ accepted, occurrences }: Job): Resources {
    let sum = NO_RESOURCES;
    for (const { dueAt, steps } of occurrences) {
      if (dueAt > this.#now) {
        break;
      }
      for (const { spec, pending } of steps) {
        if (pending.size > 0) {
          const durationMs = this.#tables.durations.expectedMs(accepted.queue, spec.estimateMs);
          sum = add(sum, scale(footprint(spec), pending.size * durationMs));
        }
      }
    }
    return sum;
  }

  #sumsOf(team: TeamName): TeamSums {
    const sums = this.#teams.get(team) ?? {
      running: NO_RESOURCES,
      ready: NO_RESOURCES,
      runningWork: NO_RESOURCES,
      waiting: new Map<number, WaitingWork>(),
    };
    this.#teams.set(team, sums);
    return sums;
  }
}

/** Below `MAX_SIZES`, as `work` is below 2 ** 1024. */
function sizeClass(work: number): number {
  return STARTED + 1 + Math.ceil(CLASSES_PER_DOUBLING * Math.log2(Math.max(1, work)));
}

/** Least class up to which the usual part of the jobs is. */
function usualSize(counts: ReadonlyMap<number, number>): number {
  const ordered = [...counts].sort(([a], [b]) => a - b);
  const total = ordered.reduce((sum, [, count]) => sum + count, 0);
  let left = Math.floor(USUAL_PART * total);
  let usual = STARTED;
  for (const [size, count] of ordered) {
    if (left <= 0) {
      break;
    }
    usual = size;
    left -= count;
  }
  return usual;
}
