import type { CellTables } from './cell-tables.js';
import type { Millis } from '../types/index.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
import type { Job } from './job.js';
import type { JobTable } from './job-table.js';
import type { JobDecision } from './messages.js';
import {
  taskKey,
  type ReportedEnd,
  type ExecutorId,
  type ExecutorReport,
  type JobId,
  type ReportedRun,
  type StartOutcome,
  type TaskRef,
} from './model.js';
import { newRun, type Run, type RunTable } from './run-table.js';
import type { StepProgress } from './step-progress.js';
import type { TaskDurations } from './task-durations.js';

/** Pause before an order to stop that was not answered is sent again. */
const STOP_RETRY_MS: Millis = 600;
/** Pause before one that was answered is repeated because the run is still there. */
const STOP_REPEAT_MS: Millis = 3_000;

/** What the handling of one event has changed. */
export interface RunChanges {
  readonly decisions: readonly JobDecision[];
  /** Jobs whose progress must be written. */
  readonly changed: ReadonlySet<JobId>;
}

/** Keeps runs in step with what executors say of them. */
export class RunBook {
  readonly #jobs: JobTable;
  readonly #runs: RunTable;
  readonly #executors: ExecutorTable;
  readonly #durations: TaskDurations;
  readonly #wall: () => Millis;
  /** Own clock of the latest order to stop a run that is not this owner's. */
  readonly #foreignStops = new Map<string, Millis>();
  #decisions: JobDecision[] = [];
  #changed = new Set<JobId>();

  constructor(parts: CellTables, wall: () => Millis) {
    this.#jobs = parts.jobs;
    this.#runs = parts.runs;
    this.#executors = parts.executors;
    this.#durations = parts.durations;
    this.#wall = wall;
  }

  /** Decisions and changes since the last call. */
  takeChanges(): RunChanges {
    const changes = { decisions: this.#decisions, changed: this.#changed };
    this.#decisions = [];
    this.#changed = new Set();
    return changes;
  }

  report(state: ExecutorState, report: ExecutorReport, now: Millis): void {
    const listed = new Set<string>();
    for (const end of report.ended) {
      if (end.seq > state.endsSeen) {
        this.#ended(report.executor, end, now);
      }
    }
    for (const running of report.running) {
      listed.add(`${taskKey(running.task)}#${running.attempt}`);
      this.#running(report, running, now);
    }
    for (const run of this.#runs.at(report.executor)) {
      if (!listed.has(`${run.key}#${run.attempt}`)) {
        this.#absent(run, report, now);
      }
    }
  }

  startAnswered(run: Run, outcome: StartOutcome, now: Millis): void {
    switch (outcome) {
      case 'started':
        if (run.phase === 'starting') {
          this.#runs.update(run, { phase: 'running', settledAt: now });
        }
        return;
      case 'unknown':
        this.#executors.unanswered(run.executor, now);
        if (run.phase === 'starting') {
          this.#runs.update(run, { phase: 'unknown', orderedAt: now });
        }
        return;
      case 'fenced':
        this.#decisions.push({ type: 'superseded' });
        return;
      case 'old-attempt':
      case 'not-sent':
        this.#drop(run);
        return;
      default:
        this.#executors.refused(run.executor, now);
        this.#drop(run);
    }
  }

  stopAnswered(run: Run, answered: boolean, now: Millis): void {
    if (run.phase !== 'stopping') {
      return;
    }
    if (!answered) {
      this.#runs.update(run, { stopSentAt: undefined });
    } else if (run.settledAt === undefined) {
      // A later answer must not move the time on, or no look would ever be late enough.
      this.#runs.update(run, { settledAt: now });
    }
  }

  /** Ends the runs of a job that is no longer open. */
  stopJob(job: Job, why: string, now: Millis): void {
    this.#runs.ofJob(job.id).forEach((run) => {
      this.stop(run, why, now);
    });
  }

  stop(run: Run, why: string, now: Millis): void {
    if (run.phase !== 'stopping') {
      this.#sendStop(this.#runs.update(run, { phase: 'stopping', settledAt: undefined }), why, now);
    }
  }

  /** Sends again the orders to stop that had no effect yet. */
  retryStops(now: Millis): void {
    for (const run of [...this.#runs.all()]) {
      const sentAt = run.stopSentAt ?? -Infinity;
      const due = now - sentAt >= (run.settledAt === undefined ? STOP_RETRY_MS : STOP_REPEAT_MS);
      if (run.phase === 'stopping' && due) {
        this.#sendStop(run, 'stop repeated', now);
      }
    }
  }

  /** Nothing runs at the executor any more. */
  loseAll(executor: ExecutorId): void {
    this.#runs.at(executor).forEach((run) => {
      this.#drop(run);
    });
  }

  /**
   * The executor has a new life and runs nothing. An order that is still on its way may reach the
   * new life, so its task waits until the order is ruled out.
   */
  newLife(executor: ExecutorId, now: Millis): void {
    for (const run of this.#runs.at(executor)) {
      if (run.phase === 'starting' || run.phase === 'unknown') {
        this.stop(run, 'new life', now);
      } else {
        this.#drop(run);
      }
    }
  }

  #ended(executor: ExecutorId, end: ReportedEnd, now: Millis): void {
    const job = this.#jobs.get(end.task.jobId);
    const step = job?.step(end.task);
    if (job === undefined || step === undefined) {
      return;
    }
    const run = this.#runs.get(taskKey(end.task));
    const current = run?.executor === executor && run.attempt === end.attempt;
    step.sawAttempt(end.task.index, end.attempt);
    if (run !== undefined && !current && end.how !== 'failed') {
      // The run was given up and the task runs elsewhere; its end no longer counts, a failure does.
      return;
    }
    step.saveCheckpoint(end.task.index, end.checkpoint);
    if (current) {
      this.#recordDuration(job, step, run, end, now);
      this.#drop(run);
    }
    this.#applyEnd(job, end, now);
    if (end.how === 'done' || end.how === 'failed') {
      this.#executors.ended(executor, end.how === 'failed', now);
    }
  }

  #recordDuration(job: Job, { spec }: StepProgress, run: Run, end: ReportedEnd, now: Millis): void {
    if (end.how === 'done' && run.startedAt !== undefined) {
      this.#durations.record(job.accepted.queue, spec.estimateMs, now - run.startedAt);
    }
  }

  #applyEnd(job: Job, end: ReportedEnd, now: Millis): void {
    const effect =
      end.how === 'done'
        ? job.taskDone(end.task, this.#wall())
        : end.how === 'failed'
          ? job.taskFailed(end.task, end.attempt, this.#wall())
          : 'none';
    if (effect !== 'none') {
      this.#changed.add(job.id);
    }
    if (effect === 'completed' || effect === 'failed') {
      this.#jobs.closed(job);
      this.stopJob(job, effect, now);
    }
  }

  #running(report: ExecutorReport, running: ReportedRun, now: Millis): void {
    const { executor } = report;
    const { task, attempt, checkpoint, percent, gauge } = running;
    const run = this.#runs.get(taskKey(task));
    const step = this.#jobs.step(task);
    step?.sawAttempt(task.index, attempt);
    if (run?.executor === executor && run.attempt === attempt) {
      step?.saveCheckpoint(task.index, checkpoint);
      const seen = run.phase === 'starting' || run.phase === 'unknown';
      this.#runs.update(run, {
        percent,
        gauge,
        // A look that was sent before the run was seen may show the executor as it was before.
        ...(seen ? { phase: 'running', settledAt: now } : {}),
      });
      return;
    }
    this.#foreignRun(executor, running, run, now);
  }

  /** A run that this owner did not order or has given up: adopted when it is the only one. */
  #foreignRun(
    executor: ExecutorId,
    running: ReportedRun,
    other: Run | undefined,
    now: Millis,
  ): void {
    const { task, attempt, percent, gauge } = running;
    const job = this.#jobs.get(task.jobId);
    const step = job?.step(task);
    if (job === undefined || step === undefined) {
      this.#stopForeign(executor, running, 'job unknown', now);
      return;
    }
    if (other !== undefined || step.isDone(task.index) || !job.open) {
      this.#stopForeign(executor, running, 'not wanted', now);
      return;
    }
    step.take(task.index);
    step.saveCheckpoint(task.index, running.checkpoint);
    job.started();
    const order = { task, attempt, executor, orderedAt: now };
    const begun = newRun(job, step, order);
    this.#runs.add({
      ...begun,
      phase: 'running',
      startedAt: undefined,
      settledAt: now,
      percent,
      gauge,
    });
  }

  /** Not repeated with each look, since each answered stop leads to a look. */
  #stopForeign(
    executor: ExecutorId,
    { task, attempt }: ReportedRun,
    why: string,
    now: Millis,
  ): void {
    for (const [key, sentAt] of this.#foreignStops) {
      if (now - sentAt >= STOP_RETRY_MS) {
        this.#foreignStops.delete(key);
      }
    }
    const key = `${executor}/${taskKey(task)}#${attempt}`;
    if (!this.#foreignStops.has(key)) {
      this.#foreignStops.set(key, now);
      this.#decisions.push({ type: 'stop', executor, task, attempt, why });
    }
  }

  /** A run that the report does not list. */
  #absent(run: Run, report: ExecutorReport, now: Millis): void {
    if (run.phase === 'unknown' && report.sentAt >= run.orderedAt) {
      // Not there yet, but the order may still be carried out: a stop rules it out.
      this.stop(run, 'start unanswered', now);
      return;
    }
    if (run.settledAt !== undefined && report.sentAt >= run.settledAt) {
      this.#drop(run);
    }
  }

  #sendStop(run: Run, why: string, now: Millis): void {
    this.#runs.update(run, { stopSentAt: now });
    const { executor, task, attempt } = run;
    this.#decisions.push({ type: 'stop', executor, task, attempt, why });
  }

  /** Takes a run off the list; its task waits again unless it is done. */
  #drop(run: Run): void {
    this.#runs.remove(run.key);
    this.#jobs.step(run.task)?.requeue(run.task.index);
  }

  /** The run that an answer is about, if it is still the current one. */
  current(task: TaskRef, attempt: number, executor: ExecutorId): Run | undefined {
    const run = this.#runs.get(taskKey(task));
    return run?.attempt === attempt && run.executor === executor ? run : undefined;
  }
}
