import { NO_RESOURCES, add, scale } from '../tasks/resource-arithmetic.js';
import type { Clock, Millis, PoolName, TeamName } from '../types/index.js';
import { Job } from './job.js';
import type { JobId, SchedulingConfig, TaskRef } from './model.js';
import type { StoredJob } from './messages.js';
import type { JobOrdering } from './ordering.js';
import { ReadyJobs } from './ready-jobs.js';
import type { SchedulingAgenda } from './scheduling-agenda.js';
import type { StepProgress } from './step-progress.js';
import type { InheritedDemand } from './unreported-usage.js';

export interface JobTableOptions {
  readonly clock: Clock;
  /** How long ended jobs are retained, so that late reports find them. */
  readonly endedJobRetentionMs: Millis;
  /** Lowest attempt number that this owner uses; earlier owners have used lower ones. */
  readonly firstAttempt: number;
}

/**
 * An earlier owner, whose clock may have been ahead, may have started occurrences that are due by then;
 * well above the jumps of clocks that are to be borne.
 */
const CLOCK_LEAD_MS: Millis = 10_000;

const NOTHING_INHERITED: InheritedDemand = { all: NO_RESOURCES, finite: NO_RESOURCES };

/** Processors that pending tasks need. `held`: by tasks that wait for the end of a recovery. */
export interface WaitingProcessors {
  readonly startable: number;
  readonly held: number;
}

/** The jobs of a cell. Ended jobs are retained for a while, so that late reports find them. */
export class JobTable {
  readonly #options: JobTableOptions;
  readonly #agenda: SchedulingAgenda;
  readonly #order: JobOrdering;
  readonly #jobs = new Map<JobId, Job>();
  readonly #openByPool = new Map<PoolName, Map<JobId, Job>>();
  readonly #readyByPool = new Map<PoolName, ReadyJobs>();
  readonly #adopted = new Set<JobId>();
  /** Jobs of which runs of earlier owners may go on, also cancelled and failed ones. */
  readonly #inherited = new Set<Job>();
  /**
   * Ended jobs that are no longer retained. A snapshot of the store lists them again, without the
   * progress that this owner has stored since, and their tasks would run a second time.
   */
  readonly #removed = new Set<JobId>();
  #config: SchedulingConfig | undefined;

  constructor(options: JobTableOptions, agenda: SchedulingAgenda, order: JobOrdering) {
    this.#options = options;
    this.#agenda = agenda;
    this.#order = order;
  }

  get(id: JobId): Job | undefined {
    return this.#jobs.get(id);
  }

  step(ref: TaskRef): StepProgress | undefined {
    return this.#jobs.get(ref.jobId)?.step(ref);
  }

  /** Called once the runs of earlier owners are all known. */
  clearAdopted(): void {
    this.#adopted.clear();
    this.#inherited.clear();
    this.#readyByPool.forEach((ready) => {
      ready.markAllChanged();
    });
  }

  /**
   * Resources of the tasks that earlier owners may have started and that are not known to run, by
   * pool and team. Tasks of ended jobs count, as their stops may not have arrived, and so do those of steps
   * whose predecessors are not known to be done: their ends may not have been stored.
   */
  inheritedDemand(now: Millis): ReadonlyMap<PoolName, ReadonlyMap<TeamName, InheritedDemand>> {
    const demand = new Map<PoolName, Map<TeamName, InheritedDemand>>();
    for (const { accepted, policy, occurrences } of this.#inherited) {
      const teams = demand.get(policy.pool) ?? new Map<TeamName, InheritedDemand>();
      let { all, finite } = teams.get(accepted.team) ?? NOTHING_INHERITED;
      for (const { dueAt, steps } of occurrences) {
        if (dueAt > now + CLOCK_LEAD_MS) {
          break;
        }
        for (const { spec, need, pending } of steps) {
          if (pending.size > 0) {
            all = add(all, scale(spec.resources, pending.size));
            finite = spec.lasting ? finite : add(finite, scale(need.resources, pending.size));
          }
        }
      }
      demand.set(policy.pool, teams.set(accepted.team, { all, finite }));
    }
    return demand;
  }

  get pools(): readonly PoolName[] {
    return [...this.#openByPool.keys()];
  }

  openJobsIn(pool: PoolName): readonly Job[] {
    return [...(this.#openByPool.get(pool)?.values() ?? [])];
  }

  /** Jobs of a pool that have tasks to start. */
  readyJobsIn(pool: PoolName): ReadyJobs {
    const known = this.#readyByPool.get(pool);
    if (known !== undefined) {
      return known;
    }
    const created = new ReadyJobs(this.#order, (id) => this.#adopted.has(id));
    this.#readyByPool.set(pool, created);
    return created;
  }

  /** Processors that the pending tasks of finite, ready steps need. */
  waitingProcessors(pool: PoolName, now: Millis): WaitingProcessors {
    const waiting = { startable: 0, held: 0 };
    for (const job of this.#openByPool.get(pool)?.values() ?? []) {
      const kind = this.#adopted.has(job.id) ? 'held' : 'startable';
      for (const { step } of job.ready(now)) {
        if (!step.spec.lasting) {
          waiting[kind] += step.pending.size * step.spec.resources.processors;
        }
      }
    }
    return waiting;
  }

  /** Number of jobs by queue of which no executor is known to have begun a task. */
  waitingByQueue(): ReadonlyMap<string, number> {
    const counts = new Map<string, number>();
    for (const jobs of this.#openByPool.values()) {
      for (const job of jobs.values()) {
        if (job.state === 'queued' || !job.begun) {
          counts.set(job.accepted.queue, (counts.get(job.accepted.queue) ?? 0) + 1);
        }
      }
    }
    return counts;
  }

  /**
   * Adds a job from the store. Returns undefined if the table has it already, has had it or would not
   * retain it.
   */
  add({ accepted, progress }: StoredJob, adopted: boolean, now: Millis): Job | undefined {
    if (this.#jobs.has(accepted.id) || this.#removed.has(accepted.id)) {
      return undefined;
    }
    const wallNow = this.#options.clock.wall();
    // A new owner finds all jobs that ever were: most of them have ended long ago.
    if (progress !== undefined && this.#isOutdated(progress.endedWallMs, wallNow)) {
      this.#removed.add(accepted.id);
      return undefined;
    }
    const acceptedAt = Math.min(now, now - (wallNow - accepted.acceptedWallMs));
    const { firstAtWallMs } = accepted.spec;
    const firstDueAt = firstAtWallMs === 0 ? acceptedAt : now + (firstAtWallMs - wallNow);
    const times = { acceptedAt, firstDueAt };
    const job = new Job(accepted, times, this.#options.firstAttempt, progress);
    this.#applyPolicy(job);
    this.#jobs.set(job.id, job);
    if (adopted && job.state !== 'completed') {
      this.#inherited.add(job);
    }
    if (job.open) {
      if (adopted) {
        this.#adopted.add(job.id);
      }
      this.#open(job);
    }
    return job;
  }

  /** Removes an ended job from the open ones. */
  markClosed(job: Job): void {
    for (const [pool, jobs] of this.#openByPool) {
      jobs.delete(job.id);
      this.readyJobsIn(pool).remove(job);
    }
    this.#adopted.delete(job.id);
  }

  /** Removes ended jobs that are retained no longer. */
  removeOutdated(): void {
    const wallNow = this.#options.clock.wall();
    for (const [id, { endedWallMs }] of this.#jobs) {
      if (this.#isOutdated(endedWallMs, wallNow)) {
        this.#jobs.delete(id);
        this.#removed.add(id);
      }
    }
  }

  /** `endedWallMs` is 0 for a job that has not ended. */
  #isOutdated(endedWallMs: Millis, wallNow: Millis): boolean {
    return endedWallMs > 0 && endedWallMs < wallNow - this.#options.endedJobRetentionMs;
  }

  configure(config: SchedulingConfig): void {
    this.#config = config;
    for (const jobs of [...this.#openByPool.values()]) {
      for (const job of [...jobs.values()]) {
        const pool = job.policy.pool;
        this.#applyPolicy(job);
        if (job.policy.pool !== pool) {
          jobs.delete(job.id);
          this.readyJobsIn(pool).remove(job);
          this.#open(job);
        }
      }
    }
    this.#readyByPool.forEach((ready) => {
      ready.markAllChanged();
    });
  }

  #applyPolicy(job: Job): void {
    job.policy = this.#config?.queues.get(job.accepted.queue) ?? job.policy;
  }

  #open(job: Job): void {
    const { pool } = job.policy;
    const jobs = this.#openByPool.get(pool) ?? new Map<JobId, Job>();
    this.#openByPool.set(pool, jobs.set(job.id, job));
    const ready = this.readyJobsIn(pool);
    ready.add(job);
    job.onChange = () => {
      ready.markChanged(job);
    };
    this.#agenda.mark(pool);
    job.occurrences.forEach(({ dueAt }) => {
      this.#agenda.wakeAt(pool, dueAt);
    });
  }
}
