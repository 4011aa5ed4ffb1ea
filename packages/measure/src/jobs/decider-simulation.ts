import {
  JobDecider,
  ManualClock,
  taskKey,
  type AcceptedJob,
  type Clock,
  type EndedRun,
  type ExecutorInfo,
  type JobDecision,
  type JobEvent,
  type JobId,
  type Millis,
  type PoolName,
  type PoolPolicy,
  type ReportedRun,
  type StepSpec,
  type TaskKey,
  type TaskRef,
} from '@turmerichoist/core';
import { VirtualTimeScheduler } from '../requests/virtual-time-scheduler.js';
import { poolName } from './workload.js';

const READY_PERCENT = 100;

/** A run of a simulated executor. */
export interface ActiveRun {
  readonly task: TaskRef;
  readonly attempt: number;
}

/** What a simulated executor runs, and the ended runs that are not acknowledged. */
export class SimulatedExecutor {
  readonly info: ExecutorInfo;
  readonly #runs = new Map<TaskKey, ActiveRun>();
  #ended: readonly EndedRun[] = [];
  #lastSeq = 0;

  constructor(info: ExecutorInfo) {
    this.info = info;
  }

  get runs(): readonly ActiveRun[] {
    return [...this.#runs.values()];
  }

  get ended(): readonly EndedRun[] {
    return this.#ended;
  }

  /** Its runs as a report lists them, each with this gauge. */
  running(gauge: number): readonly ReportedRun[] {
    return this.runs.map((run) => ({ ...run, checkpoint: '', percent: READY_PERCENT, gauge }));
  }

  begin(run: ActiveRun): void {
    this.#runs.set(taskKey(run.task), run);
  }

  /** Ends a run as done. */
  end({ task, attempt }: ActiveRun): void {
    this.#runs.delete(taskKey(task));
    this.#lastSeq += 1;
    const end = { seq: this.#lastSeq, task, attempt, reason: 'done', checkpoint: '' } as const;
    this.#ended = [...this.#ended, end];
  }

  acknowledge(through: number): void {
    this.#ended = this.#ended.filter(({ seq }) => seq > through);
  }
}

/** What a simulated cell consists of besides its decider. */
export interface SimulatedCell {
  /** An event is about to be handled. */
  onEvent(event: JobEvent, at: Millis): void;
  carryOut(decision: JobDecision): void;
}

/** Feeds a decider with events in virtual time, and runs the rounds that they make due at once. */
export class DeciderSimulation {
  readonly time = new VirtualTimeScheduler();
  readonly jobs = new Map<JobId, AcceptedJob>();
  readonly #clock = new ManualClock();
  readonly #decider = newDecider(this.#clock);
  readonly #cell: SimulatedCell;

  constructor(cell: SimulatedCell) {
    this.#cell = cell;
  }

  deliver(event: JobEvent): void {
    const now = this.time.now();
    this.#clock.advance(now - this.#clock.now());
    this.#cell.onEvent(event, now);
    this.#decider.handle(event, now).forEach((decision) => {
      this.#cell.carryOut(decision);
    });
    if (this.#decider.needsRound(now)) {
      this.deliver({ type: 'schedule' });
    }
  }

  accept(jobs: readonly AcceptedJob[]): void {
    jobs.forEach((job) => this.jobs.set(job.id, job));
    if (jobs.length > 0) {
      const stored = jobs.map((accepted) => ({ accepted }));
      this.deliver({ type: 'jobs', jobs: stored, adopted: false });
    }
  }

  step({ jobId, step }: TaskRef): StepSpec | undefined {
    return this.jobs.get(jobId)?.spec.steps[step];
  }
}

/** A decider with the settings of a cell's first owner. */
export function newDecider(clock: Clock): JobDecider {
  return new JobDecider({
    clock,
    firstAttempt: 1,
    recoveryEndsAt: 0,
    ordersAllowedAt: 0,
    endedJobRetentionMs: 60_000,
    leases: { termMs: 4_840, longestMs: 6_370 },
  });
}

/** The configuration of a fleet of `pools` pools, and of `standby` if that is given. */
export function poolsConfig(pools: number, standby?: PoolName): JobEvent {
  const policies = new Map<PoolName, PoolPolicy>();
  for (let index = 0; index < pools; index += 1) {
    const name = poolName(index);
    policies.set(name, { name, standby: false });
  }
  if (standby !== undefined) {
    policies.set(standby, { name: standby, standby: true });
  }
  const config = { queues: new Map(), pools: policies, teams: new Map() };
  return { type: 'config', config };
}
