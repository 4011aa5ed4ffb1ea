import {
  LeastWorkFirst,
  ManualClock,
  TaskDurations,
  type ExecutorInfo,
  type JobDecision,
  type JobId,
  type JobOrdering,
  type Millis,
  type StepSpec,
  type TeamName,
} from '../../src/index.js';
import { ExecutorTable } from '../../src/jobs/executor-table.js';
import { JobTable } from '../../src/jobs/job-table.js';
import { RunTable } from '../../src/jobs/run-table.js';
import { Scheduler, type StartLimits } from '../../src/jobs/scheduler.js';
import { SchedulingAgenda } from '../../src/jobs/scheduling-agenda.js';
import { UnreportedUsage } from '../../src/jobs/unreported-usage.js';
import type { MadeReservation } from './full-pool-world.js';
import { job } from './job-fixtures.js';

/** After all rounds of a test, so that executors count as heard of all the time. */
const LATER: Millis = 1e6;

/** A scheduler of the pool `p1` whose rounds and ends of runs a test calls one by one. */
export class SchedulerFixture {
  now: Millis = 0;
  limits: StartLimits = {
    zonesOut: new Set(),
    teams: new Map(),
    holdAdopted: false,
    unreported: UnreportedUsage.NONE,
  };
  readonly runs = new RunTable();
  readonly executors: ExecutorTable;
  readonly #agenda = new SchedulingAgenda();
  readonly #jobs: JobTable;
  readonly #scheduler: Scheduler;

  constructor(
    infos: readonly ExecutorInfo[],
    order: JobOrdering = new LeastWorkFirst(new TaskDurations()),
  ) {
    const durations = new TaskDurations();
    const options = { clock: new ManualClock(), endedJobRetentionMs: 60_000, firstAttempt: 1 };
    this.#jobs = new JobTable(options, this.#agenda, order);
    this.executors = new ExecutorTable(this.runs, this.#agenda);
    const { runs, executors } = this;
    const tables = { jobs: this.#jobs, runs, executors, durations, agenda: this.#agenda };
    this.#scheduler = new Scheduler(tables);
    infos.forEach((info) => {
      this.executors.add(info, 0);
      const contact = {
        runsKnown: true,
        lastReportAt: LATER,
        lastReceivedAt: LATER,
        leaseEndsAt: LATER,
      };
      this.executors.updateContact(info.id, contact, 0);
    });
  }

  /** Whether a round is due now. */
  get due(): boolean {
    return this.#agenda.isDue(this.now);
  }

  submit(id: JobId, steps: readonly StepSpec[], team: TeamName = 't1'): void {
    this.#jobs.add({ accepted: { ...job(id, steps), team } }, false, this.now);
  }

  /** Runs a round after a time. */
  round(afterMs: Millis): readonly JobDecision[] {
    this.now += afterMs;
    this.#agenda.takeDue(['p1'], this.now);
    return this.#scheduler.schedule('p1', this.limits, this.now);
  }

  /** Ends one run of a job as done. */
  end(id: JobId): void {
    const [run] = this.runs.ofJob(id);
    if (run !== undefined) {
      this.runs.remove(run.key);
      this.#jobs.get(id)?.recordTaskDone(run.task, 1);
    }
  }
}

/** Jobs with tasks that a round has started, with the executor of each. */
export function startsOf(decisions: readonly JobDecision[]): readonly (readonly [JobId, string])[] {
  return decisions.flatMap((one) =>
    one.type === 'start' ? [[one.task.jobId, one.executor] as const] : [],
  );
}

/** Reservations that a round has made. */
export function reservationsOf(decisions: readonly JobDecision[]): readonly MadeReservation[] {
  return decisions.flatMap((one) =>
    one.type === 'reservation' && one.change === 'made' ? [one] : [],
  );
}
