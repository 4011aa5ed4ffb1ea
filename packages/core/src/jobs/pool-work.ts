import { NO_RESOURCES, add, scale } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, QueueName, TeamName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { Job } from './job.js';
import { footprint } from './model.js';
import type { JobOrdering, ServiceRank } from './ordering.js';
import type { Run } from './run-table.js';

/** Size classes for each doubling of the work of a job. */
const CLASSES_PER_DOUBLING = 2;
/** Age up to which jobs show what arrives. */
const ARRIVALS_MS: Millis = 1_000;
/** Number of a team's jobs from which their rate is expected to go on. */
const MIN_ARRIVALS = 5;

/** Work of waiting jobs that the order serves together, except for differences within a size class. */
export interface WaitingWork {
  /** With the largest work of the jobs. */
  readonly rank: ServiceRank;
  /** Product of resources and milliseconds. */
  readonly work: Resources;
  /** Work that arrives in each millisecond and has to wait. */
  readonly arrivalRate: Resources;
}

/** What one team has in a pool. */
export interface TeamWork {
  /** Rest of what runs. */
  readonly runningWork: Resources;
  /** Of jobs that can still have value. */
  readonly waiting: readonly WaitingWork[];
}

export interface PoolWork {
  readonly teams: ReadonlyMap<TeamName, TeamWork>;
  readonly queues: ReadonlyMap<QueueName, QueueWork>;
}

/** What the waiting jobs of one queue are like. */
export interface QueueWork {
  /** Expected work by declared work. */
  readonly workFactor: number;
  /** Mean of the critical paths. */
  readonly pathMs: Millis;
}

/** Adds up the finite work in a pool by team, in time in proportion to its open jobs and runs. */
export function collectPoolWork(
  tables: CellTables,
  order: JobOrdering,
  pool: PoolName,
  now: Millis,
): PoolWork {
  const collector = new Collector(tables, now);
  for (const job of tables.jobs.openJobsIn(pool)) {
    const rank = order.rank(job, now);
    // Jobs without value are served after those that are submitted now.
    if (rank.value === 'in-time' || rank.value === 'late') {
      collector.addJob(job, rank);
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
  runningWork: Resources;
  readonly waiting: Map<string, WaitingWork>;
  /** Number of jobs in the latest half of `ARRIVALS_MS`, and in the one before. */
  readonly arrivals: [latest: number, before: number];
}

/** Processor-milliseconds of the waiting tasks of a queue. */
interface QueueSums {
  expected: number;
  declared: number;
  jobs: number;
  pathsMs: Millis;
}

class Collector {
  readonly #tables: CellTables;
  readonly #now: Millis;
  readonly #teams = new Map<TeamName, TeamSums>();
  readonly #queues = new Map<QueueName, QueueSums>();

  constructor(tables: CellTables, now: Millis) {
    this.#tables = tables;
    this.#now = now;
  }

  get result(): PoolWork {
    const teams = [...this.#teams].map(([team, { runningWork, waiting, arrivals }]) => {
      const groups = [...waiting.values()];
      const [latest, before] = arrivals;
      // Jobs that were submitted together do not make a rate.
      const goesOn = latest > 0 && before > 0 && latest + before >= MIN_ARRIVALS;
      const alone = groups.map((group) => ({ ...group, arrivalRate: NO_RESOURCES }));
      return [team, { runningWork, waiting: goesOn ? groups : alone }] as const;
    });
    const queues = [...this.#queues].map(([queue, { expected, declared, jobs, pathsMs }]) => {
      const workFactor = declared > 0 ? expected / declared : 1;
      return [queue, { workFactor, pathMs: pathsMs / jobs }] as const;
    });
    return { teams: new Map(teams), queues: new Map(queues) };
  }

  addJob(job: Job, { value, standing, started, work }: ServiceRank): void {
    const sums = this.#sumsOf(job.accepted.team);
    const { waiting } = sums;
    const { policy } = job;
    const size = sizeClass(work);
    const key = `${policy.priority}/${value}/${started}/${size}`;
    const sum = this.#waitingWork(job);
    const known = waiting.get(key);
    const largest = Math.max(work, known?.rank.work ?? 0);
    // Ranks are compared within a team, which is overdue with all its jobs or with none.
    const overdueSince = undefined;
    const rank = { job: { policy }, value, standing, overdueSince, started, work: largest };
    const ageMs = this.#now - job.times.acceptedAt;
    const rate = ageMs <= ARRIVALS_MS ? scale(sum, 1 / ARRIVALS_MS) : NO_RESOURCES;
    if (rate.processors > 0) {
      sums.arrivals[ageMs <= ARRIVALS_MS / 2 ? 0 : 1] += 1;
    }
    waiting.set(key, {
      rank,
      work: add(known?.work ?? NO_RESOURCES, sum),
      arrivalRate: add(known?.arrivalRate ?? NO_RESOURCES, rate),
    });
  }

  addRun(run: Run): void {
    if (run.lasting || run.phase === 'stopping') {
      return;
    }
    const { jobs, durations } = this.#tables;
    const job = jobs.get(run.task.jobId);
    const step = job?.step(run.task);
    if (job !== undefined && step !== undefined) {
      const sums = this.#sumsOf(run.team);
      const expectedMs = durations.expectedMs(job.accepted.queue, step.spec.estimateMs);
      const leftMs = Math.max(0, expectedMs - (this.#now - (run.startedAt ?? run.orderedAt)));
      sums.runningWork = add(sums.runningWork, scale(run.footprint, leftMs));
    }
  }

  #waitingWork({ accepted: { queue }, occurrences, criticalPathMs }: Job): Resources {
    const totals = this.#queues.get(queue) ?? { expected: 0, declared: 0, jobs: 0, pathsMs: 0 };
    this.#queues.set(queue, totals);
    totals.jobs += 1;
    totals.pathsMs += criticalPathMs;
    let sum = NO_RESOURCES;
    for (const { dueAt, steps } of occurrences) {
      if (dueAt > this.#now) {
        break;
      }
      for (const { spec, pending } of steps) {
        if (pending.size > 0) {
          const durationMs = this.#tables.durations.expectedMs(queue, spec.estimateMs);
          const needed = scale(footprint(spec), pending.size);
          sum = add(sum, scale(needed, durationMs));
          totals.expected += needed.processors * durationMs;
          totals.declared += needed.processors * spec.estimateMs;
        }
      }
    }
    return sum;
  }

  #sumsOf(team: TeamName): TeamSums {
    const sums: TeamSums = this.#teams.get(team) ?? {
      runningWork: NO_RESOURCES,
      waiting: new Map<string, WaitingWork>(),
      arrivals: [0, 0],
    };
    this.#teams.set(team, sums);
    return sums;
  }
}

function sizeClass(work: number): number {
  return Math.ceil(CLASSES_PER_DOUBLING * Math.log2(Math.max(1, work)));
}
