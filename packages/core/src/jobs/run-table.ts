import { NO_RESOURCES, add, largest, subtract } from '../tasks/resource-arithmetic.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, PoolName, TeamName } from '../types/index.js';
import type { Job } from './job.js';
import { footprint, taskKey, type ExecutorId, type TaskRef } from './model.js';
import type { StepProgress } from './step-progress.js';

/**
 * Identifies a run in the table: the key of the task for the run that its task waits for, that of the
 * attempt on the executor for a superseded one.
 */
export type RunKey = string;

/** Pace of a task that is not slowed down, in percent of its normal speed. */
export const FULL_PACE_PERCENT = 100;

/**
 * `starting`: the start was sent and is not answered yet. `running`: the executor has confirmed the
 * start or reported the run. `unknown`: the start timed out and may still take effect. `stopping`:
 * a stop was sent.
 */
export type RunPhase = 'starting' | 'running' | 'unknown' | 'stopping';

/** One attempt to run a task on an executor. */
export interface Run {
  readonly key: RunKey;
  readonly task: TaskRef;
  readonly attempt: number;
  readonly executor: ExecutorId;
  /** Pool of the executor when the run began. */
  readonly pool: PoolName;
  readonly phase: RunPhase;
  /** Whether it was taken on record beside another run of the task: it is stopped, and its progress is not used. */
  readonly superseded: boolean;
  /** Whether a report of the executor has listed it as running. */
  readonly listed: boolean;
  readonly team: TeamName;
  readonly lasting: boolean;
  readonly fills: boolean;
  readonly image: string;
  readonly targetMs: Millis;
  /** Capacity that it takes on the executor. */
  readonly footprint: Resources;
  /** Resources that count towards the team's cap. */
  readonly resources: Resources;
  /** Monotonic time at which the start was sent or, in phase `unknown`, timed out. */
  readonly orderedAt: Millis;
  /** Monotonic time at which the start was sent; undefined for a run of an earlier owner. */
  readonly startedAt: Millis | undefined;
  /**
   * Monotonic time at which the executor confirmed its start or stop. Only a report requested at or
   * after it proves by omission that the run has ended. Undefined while unconfirmed.
   */
  readonly confirmedAt: Millis | undefined;
  /** Monotonic time of the latest stop; undefined if none was sent or it was not answered. */
  readonly stopSentAt: Millis | undefined;
  readonly percent: number;
  readonly gauge: number;
  /** Pace last sent, in percent of its normal speed. */
  readonly pace: number;
}

/** What is known of a run besides its job and step. */
type RunOrder = Pick<Run, 'task' | 'attempt' | 'executor' | 'pool' | 'orderedAt'>;

/** Creates the run for a start that is about to be sent. */
export function newRun(job: Job, { spec }: StepProgress, order: RunOrder): Run {
  return {
    ...order,
    key: taskKey(order.task),
    phase: 'starting',
    superseded: false,
    listed: false,
    team: job.accepted.team,
    lasting: spec.lasting,
    fills: spec.fills,
    image: spec.image,
    targetMs: spec.targetMs,
    footprint: footprint(spec),
    resources: spec.resources,
    startedAt: order.orderedAt,
    confirmedAt: undefined,
    stopSentAt: undefined,
    percent: 0,
    gauge: 0,
    pace: FULL_PACE_PERCENT,
  };
}

/** Creates a run that is reported by its executor and is not on record. */
export function reportedRun(
  job: Job,
  step: StepProgress,
  order: RunOrder,
  { percent, gauge }: Pick<Run, 'percent' | 'gauge'>,
): Run {
  return {
    ...newRun(job, step, order),
    phase: 'running',
    listed: true,
    startedAt: undefined,
    confirmedAt: order.orderedAt,
    percent,
    gauge,
  };
}

interface FreeCapacity {
  readonly capacity: Resources;
  readonly free: Resources;
}

/** All runs that may be on executors, indexed by task, executor and job, with usage by team. */
export class RunTable {
  readonly #byKey = new Map<RunKey, Run>();
  readonly #byExecutor = new Map<ExecutorId, Map<RunKey, Run>>();
  readonly #byJob = new Map<string, Map<RunKey, Run>>();
  readonly #teamUsage = new Map<TeamName, Resources>();
  /** Capacity that runs of finite tasks take, by pool and team. */
  readonly #finiteUsage = new Map<PoolName, Map<TeamName, Resources>>();
  /** Number of runs in phase `stopping`. */
  #stopping = 0;
  /** Number of superseded runs. */
  #superseded = 0;
  /** Free capacity by executor, until a run begins or ends there. */
  readonly #free = new Map<ExecutorId, FreeCapacity>();
  /** Runs by executor as `at` returned them, until one changes. */
  readonly #listedAt = new Map<ExecutorId, readonly Run[]>();

  get(key: RunKey): Run | undefined {
    return this.#byKey.get(key);
  }

  at(executor: ExecutorId): readonly Run[] {
    const listed = this.#listedAt.get(executor);
    if (listed !== undefined) {
      return listed;
    }
    const runs = [...(this.#byExecutor.get(executor)?.values() ?? [])];
    this.#listedAt.set(executor, runs);
    return runs;
  }

  /** What these runs leave of an executor's capacity. */
  freeCapacity(executor: ExecutorId, capacity: Resources): Resources {
    const known = this.#free.get(executor);
    if (known?.capacity === capacity) {
      return known.free;
    }
    const free = this.at(executor).reduce((left, run) => subtract(left, run.footprint), capacity);
    this.#free.set(executor, { capacity, free });
    return free;
  }

  countAt(executor: ExecutorId): number {
    return this.#byExecutor.get(executor)?.size ?? 0;
  }

  /** Whether any run of the task is on record, superseded ones included. */
  hasRunOf(task: TaskRef): boolean {
    const key = taskKey(task);
    return (
      this.#byKey.has(key) ||
      (this.#superseded > 0 && this.ofJob(task.jobId).some((run) => taskKey(run.task) === key))
    );
  }

  ofJob(jobId: string): readonly Run[] {
    return [...(this.#byJob.get(jobId)?.values() ?? [])];
  }

  /** Runs in phase `stopping`, in the order in which all runs were added. */
  stopping(): readonly Run[] {
    return this.#stopping === 0
      ? []
      : [...this.#byKey.values()].filter(({ phase }) => phase === 'stopping');
  }

  teamUsage(team: TeamName): Resources {
    return this.#teamUsage.get(team) ?? NO_RESOURCES;
  }

  /** Capacity that runs of finite tasks take in a pool, by team; changes with the table. */
  finiteUsage(pool: PoolName): ReadonlyMap<TeamName, Resources> {
    return getOrCreate(this.#finiteUsage, pool);
  }

  add(run: Run): void {
    this.remove(run.key);
    this.#store(run);
    this.#superseded += run.superseded ? 1 : 0;
    this.#free.delete(run.executor);
    this.#teamUsage.set(run.team, add(this.teamUsage(run.team), run.resources));
    this.#changeFiniteUsage(run, add);
  }

  /** Updates the mutable fields of a run. Its executor and resources do not change. */
  update(run: Run, change: Partial<Pick<Run, MutableField>>): Run {
    const updated = { ...run, ...change };
    this.#store(updated);
    return updated;
  }

  remove(key: RunKey): Run | undefined {
    const run = this.#byKey.get(key);
    if (run === undefined) {
      return undefined;
    }
    this.#byKey.delete(key);
    this.#stopping -= stoppingCount(run);
    this.#superseded -= run.superseded ? 1 : 0;
    this.#byExecutor.get(run.executor)?.delete(key);
    this.#listedAt.delete(run.executor);
    this.#free.delete(run.executor);
    const ofJob = this.#byJob.get(run.task.jobId);
    ofJob?.delete(key);
    if (ofJob?.size === 0) {
      this.#byJob.delete(run.task.jobId);
    }
    this.#teamUsage.set(run.team, subtract(this.teamUsage(run.team), run.resources));
    this.#changeFiniteUsage(run, subtract);
    return run;
  }

  #changeFiniteUsage({ lasting, pool, team, footprint: taken }: Run, change: typeof add): void {
    if (!lasting) {
      const usage = getOrCreate(this.#finiteUsage, pool);
      const changed = change(usage.get(team) ?? NO_RESOURCES, taken);
      if (largest(changed) > 0) {
        usage.set(team, changed);
      } else {
        // Each round of the pool looks at all teams with usage.
        usage.delete(team);
      }
    }
  }

  #store(run: Run): void {
    this.#stopping += stoppingCount(run) - stoppingCount(this.#byKey.get(run.key));
    this.#byKey.set(run.key, run);
    this.#listedAt.delete(run.executor);
    getOrCreate(this.#byExecutor, run.executor).set(run.key, run);
    getOrCreate(this.#byJob, run.task.jobId).set(run.key, run);
  }
}

function stoppingCount(run: Run | undefined): number {
  return run?.phase === 'stopping' ? 1 : 0;
}

type MutableField =
  'phase' | 'listed' | 'confirmedAt' | 'stopSentAt' | 'percent' | 'gauge' | 'pace' | 'orderedAt';

function getOrCreate<K, L, V>(maps: Map<K, Map<L, V>>, key: K): Map<L, V> {
  const existing = maps.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = new Map<L, V>();
  maps.set(key, created);
  return created;
}
