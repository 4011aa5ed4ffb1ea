import { NOTHING, add, subtract } from '../tasks/amounts.js';
import type { Resources } from '../tasks/model.js';
import type { Millis, TeamName } from '../types/index.js';
import type { Job } from './job.js';
import { footprint, taskKey, type ExecutorId, type TaskKey, type TaskRef } from './model.js';
import type { StepProgress } from './step-progress.js';

/** Share of its normal speed at which a task starts, in percent. */
export const FULL_PACE_PERCENT = 100;

/**
 * `starting`: ordered, not answered. `running`: seen at work or answered. `unknown`: the order was
 * not answered and must be ruled out. `stopping`: ordered to stop.
 */
export type RunPhase = 'starting' | 'running' | 'unknown' | 'stopping';

/** One run of a task at an executor. */
export interface Run {
  readonly key: TaskKey;
  readonly task: TaskRef;
  readonly attempt: number;
  readonly executor: ExecutorId;
  readonly phase: RunPhase;
  readonly team: TeamName;
  readonly lasting: boolean;
  readonly fills: boolean;
  readonly image: string;
  readonly targetMs: Millis;
  /** What it takes of the executor's capacity. */
  readonly footprint: Resources;
  /** What counts towards the team's cap. */
  readonly resources: Resources;
  readonly orderedAt: Millis;
  /** Own clock of its start; undefined for a run that an earlier owner started. */
  readonly startedAt: Millis | undefined;
  /** Own clock from which a report without this run proves that it is gone; undefined: none does. */
  readonly settledAt: Millis | undefined;
  /** Own clock of the latest order to stop it. */
  readonly stopSentAt: Millis | undefined;
  readonly percent: number;
  readonly gauge: number;
  /** Share of its normal speed, in percent, that it was last paced to. */
  readonly pace: number;
}

/** The run that an order to start a task begins. */
export function newRun(
  job: Job,
  { spec }: StepProgress,
  order: Pick<Run, 'task' | 'attempt' | 'executor' | 'orderedAt'>,
): Run {
  return {
    ...order,
    key: taskKey(order.task),
    phase: 'starting',
    team: job.accepted.team,
    lasting: spec.lasting,
    fills: spec.fills,
    image: spec.image,
    targetMs: spec.targetMs,
    footprint: footprint(spec),
    resources: spec.resources,
    startedAt: order.orderedAt,
    settledAt: undefined,
    stopSentAt: undefined,
    percent: 0,
    gauge: 0,
    pace: FULL_PACE_PERCENT,
  };
}

/** All runs that are or may be at executors, with sums by team and executor. */
export class RunTable {
  readonly #byKey = new Map<TaskKey, Run>();
  readonly #byExecutor = new Map<ExecutorId, Map<TaskKey, Run>>();
  readonly #byJob = new Map<string, Map<TaskKey, Run>>();
  readonly #teamUse = new Map<TeamName, Resources>();

  get(key: TaskKey): Run | undefined {
    return this.#byKey.get(key);
  }

  at(executor: ExecutorId): readonly Run[] {
    return [...(this.#byExecutor.get(executor)?.values() ?? [])];
  }

  ofJob(jobId: string): readonly Run[] {
    return [...(this.#byJob.get(jobId)?.values() ?? [])];
  }

  all(): Iterable<Run> {
    return this.#byKey.values();
  }

  teamUse(team: TeamName): Resources {
    return this.#teamUse.get(team) ?? NOTHING;
  }

  add(run: Run): void {
    this.remove(run.key);
    this.#store(run);
    this.#teamUse.set(run.team, add(this.teamUse(run.team), run.resources));
  }

  /** Replaces fields of a run; its place and size stay. */
  update(run: Run, change: Partial<Pick<Run, MutableField>>): Run {
    const updated = { ...run, ...change };
    this.#store(updated);
    return updated;
  }

  remove(key: TaskKey): Run | undefined {
    const run = this.#byKey.get(key);
    if (run === undefined) {
      return undefined;
    }
    this.#byKey.delete(key);
    this.#byExecutor.get(run.executor)?.delete(key);
    const ofJob = this.#byJob.get(run.task.jobId);
    ofJob?.delete(key);
    if (ofJob?.size === 0) {
      this.#byJob.delete(run.task.jobId);
    }
    this.#teamUse.set(run.team, subtract(this.teamUse(run.team), run.resources));
    return run;
  }

  #store(run: Run): void {
    this.#byKey.set(run.key, run);
    mapOf(this.#byExecutor, run.executor).set(run.key, run);
    mapOf(this.#byJob, run.task.jobId).set(run.key, run);
  }
}

type MutableField =
  'phase' | 'settledAt' | 'stopSentAt' | 'percent' | 'gauge' | 'pace' | 'orderedAt';

function mapOf<K>(maps: Map<K, Map<TaskKey, Run>>, key: K): Map<TaskKey, Run> {
  const existing = maps.get(key);
  if (existing !== undefined) {
    return existing;
  }
  const created = new Map<TaskKey, Run>();
  maps.set(key, created);
  return created;
}
