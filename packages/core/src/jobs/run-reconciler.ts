import type { CellTables } from './cell-tables.js';
import type { Millis } from '../types/index.js';
import type { ExecutorState, ExecutorTable } from './executor-table.js';
import type { Job } from './job.js';
import type { JobTable } from './job-table.js';
import type { JobDecision } from './messages.js';
import {
  attemptKeyAt,
  taskKey,
  type EndedRun,
  type ExecutorId,
  type ExecutorReport,
  type JobId,
  type ReportedRun,
  type StartOutcome,
  type TaskRef,
} from './model.js';
import { reportedRun, type Run, type RunKey, type RunTable } from './run-table.js';
import type { SchedulingAgenda } from './scheduling-agenda.js';
import type { StepProgress } from './step-progress.js';
import type { TaskDurations } from './task-durations.js';
import { STOP_RETRY_MS, UntrackedStops } from './untracked-stops.js';

/** Time after which an answered stop is sent again because the run is still reported. */
const STOP_REPEAT_MS: Millis = 3_000;

/** Covers the time-outs of connecting and of the order, and the way through the owner's queues. */
const START_ANSWER_LIMIT_MS: Millis = 2_000;

/** Effects of the events handled since the last call of `drainChanges`. */
export interface RunChanges {
  readonly decisions: readonly JobDecision[];
  /** Jobs whose progress must be stored. */
  readonly changedJobs: ReadonlySet<JobId>;
}

/** Reconciles the runs on record with what executors report and answer. */
export class RunReconciler {
  readonly #jobs: JobTable;
  readonly #runs: RunTable;
  readonly #executors: ExecutorTable;
  readonly #durations: TaskDurations;
  readonly #agenda: SchedulingAgenda;
  readonly #wallNow: () => Millis;
  readonly #untrackedStops = new UntrackedStops();
  #decisions: JobDecision[] = [];
  #changedJobs = new Set<JobId>();

  constructor(parts: CellTables, wall: () => Millis) {
    this.#jobs = parts.jobs;
    this.#runs = parts.runs;
    this.#executors = parts.executors;
    this.#durations = parts.durations;
    this.#agenda = parts.agenda;
    this.#wallNow = wall;
  }

  /** Returns the decisions and changes since the last call and clears them. */
  drainChanges(): RunChanges {
    const changes = { decisions: this.#decisions, changedJobs: this.#changedJobs };
    this.#decisions = [];
    this.#changedJobs = new Set();
    return changes;
  }

  report(state: ExecutorState, report: ExecutorReport, now: Millis): void {
    const listed = new Set<RunKey>();
    for (const end of report.ended) {
      if (end.seq > state.lastEndSeq) {
        this.#handleEnd(report.executor, end, now);
      }
    }
    for (const running of report.running) {
      const key = this.#handleRunning(report, running, now);
      if (key !== undefined) {
        listed.add(key);
      }
    }
    // A run that is in neither list of such a report may have ended, even as done.
    const missing = report.moreEnded === true ? [] : this.#runs.at(report.executor);
    for (const run of missing) {
      if (!listed.has(run.key)) {
        this.#handleMissing(run, report, now);
      }
    }
  }

  startAnswered(run: Run, outcome: StartOutcome, now: Millis): void {
    switch (outcome) {
      case 'started':
        this.#jobs.step(run.task)?.markBegun();
        if (run.phase === 'starting') {
          this.#runs.update(run, { phase: 'running', confirmedAt: now });
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
      case 'withdrawn':
        this.#drop(run);
        return;
      default:
        // The backoff keeps the task from being started there again at once, and again.
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
    } else if (run.confirmedAt === undefined) {
      // Only the first answer counts: if answers to repeated stops advanced this time, every report
      // could predate it and none would prove that the run has ended.
      this.#runs.update(run, { confirmedAt: now });
    }
  }

  /** Stops all runs of a job that is no longer open. */
  stopJob(job: Job, why: string, now: Millis): void {
    this.#runs.ofJob(job.id).forEach((run) => {
      this.stop(run, why, now);
    });
  }

  stop(run: Run, why: string, now: Millis): void {
    if (run.phase !== 'stopping') {
      this.#sendStop(
        this.#runs.update(run, { phase: 'stopping', confirmedAt: undefined }),
        why,
        now,
      );
    }
  }

  /** Sends stops again that have had no effect yet. */
  retryStops(now: Millis): void {
    this.#runs.stopping().forEach((run) => {
      this.#retryStop(run, now);
    });
  }

  #retryStop(run: Run, now: Millis): void {
    const sentAt = run.stopSentAt ?? -Infinity;
    const due = now - sentAt >= (run.confirmedAt === undefined ? STOP_RETRY_MS : STOP_REPEAT_MS);
    if (run.phase === 'stopping' && due) {
      this.#sendStop(run, 'stop retried', now);
    }
  }

  /** Drops all runs of an executor that can no longer run anything but `remaining`. */
  dropAll(executor: ExecutorId, remaining: readonly Run[] = []): void {
    this.#runs.at(executor).forEach((run) => {
      if (!remaining.includes(run)) {
        this.#drop(run);
      }
    });
  }

  /**
   * Handles a restarted executor, which has lost its runs. A start still in flight may reach the
   * new process, so its task is only requeued once a stop has ruled the start out. A start that was
   * confirmed since the last report of the former process may have reached the new one, whose next
   * report tells.
   */
  handleRestart({ info, lastReportAt }: ExecutorState, now: Millis): void {
    for (const run of this.#runs.at(info.id)) {
      if (run.phase === 'starting' || run.phase === 'unknown') {
        this.stop(run, 'executor restarted', now);
      } else if (!isConfirmedSince(run, lastReportAt)) {
        this.#drop(run);
      }
    }
  }

  #handleEnd(executor: ExecutorId, end: EndedRun, now: Millis): void {
    const run = this.#runs.get(taskKey(end.task));
    const current = run?.executor === executor && run.attempt === end.attempt;
    const onRecord = current ? run : this.current(end.task, end.attempt, executor);
    if (onRecord?.superseded === true) {
      this.#drop(onRecord);
    }
    const job = this.#jobs.get(end.task.jobId);
    const step = job?.step(end.task);
    if (job === undefined || step === undefined) {
      return;
    }
    step.recordAttempt(end.task.index, end.attempt);
    if (run !== undefined && !current && end.reason !== 'failed') {
      // The run was given up and the task has been started again. Only a failure still counts.
      return;
    }
    if (onRecord?.superseded !== true) {
      step.saveCheckpoint(end.task.index, end.checkpoint);
    }
    if (current) {
      this.#recordDuration(job, step, run, end, now);
      this.#drop(run);
    }
    this.#applyEnd(job, end, now);
    if (end.reason === 'done' || end.reason === 'failed') {
      this.#executors.ended(executor, end.reason === 'failed', now);
    }
  }

  #recordDuration(job: Job, { spec }: StepProgress, run: Run, end: EndedRun, now: Millis): void {
    if (end.reason === 'done' && run.startedAt !== undefined) {
      this.#durations.record(job.accepted.queue, spec.estimateMs, now - run.startedAt);
    }
  }

  #applyEnd(job: Job, end: EndedRun, now: Millis): void {
    const effect =
      end.reason === 'done'
        ? job.recordTaskDone(end.task, this.#wallNow())
        : end.reason === 'failed'
          ? job.recordTaskFailed(end.task, end.attempt, this.#wallNow())
          : 'none';
    if (effect !== 'none') {
      this.#changedJobs.add(job.id);
      this.#agenda.mark(job.policy.pool);
    }
    if (effect === 'completed' || effect === 'failed') {
      this.#jobs.markClosed(job);
      this.stopJob(job, effect, now);
    }
  }

  /** Returns the key of the run; undefined if it is not on record, as its job is unknown. */
  #handleRunning(
    { executor }: ExecutorReport,
    running: ReportedRun,
    now: Millis,
  ): RunKey | undefined {
    const { task, attempt, checkpoint, percent, gauge } = running;
    const run = this.current(task, attempt, executor);
    const step = this.#jobs.step(task);
    step?.recordAttempt(task.index, attempt);
    if (run !== undefined) {
      if (!run.superseded) {
        step?.saveCheckpoint(task.index, checkpoint);
      }
      const unconfirmed = run.phase === 'starting' || run.phase === 'unknown';
      if (unconfirmed) {
        // Reports of polls that were sent before this time may predate the start.
        const phase = 'running';
        this.#runs.update(run, { percent, gauge, phase, confirmedAt: now, listed: true });
      } else if (
        !run.listed ||
        (isObserved(run) && (run.percent !== percent || run.gauge !== gauge))
      ) {
        this.#runs.update(run, { percent, gauge, listed: true });
      }
      if (run.superseded) {
        this.#retryStop(run, now);
      }
      return run.key;
    }
    return this.#adopt(executor, running, now);
  }

  /**
   * Takes a reported run on record. One whose task is not pending any more is stopped; it counts like any
   * other until its end is known.
   */
  #adopt(executor: ExecutorId, running: ReportedRun, now: Millis): RunKey | undefined {
    const { task, attempt } = running;
    const job = this.#jobs.get(task.jobId);
    const step = job?.step(task);
    if (job === undefined || step === undefined) {
      if (this.#untrackedStops.take(executor, running, now)) {
        this.#decisions.push({ type: 'stop', executor, task, attempt, why: 'unknown job' });
      }
      return undefined;
    }
    const superseded = this.#runs.get(taskKey(task)) !== undefined;
    const wanted = !superseded && !step.isDone(task.index) && job.open;
    const pool = this.#executors.get(executor)?.info.pool ?? job.policy.pool;
    const order = { task, attempt, executor, pool, orderedAt: now };
    const reported = reportedRun(job, step, order, running);
    const key = superseded ? attemptKeyAt(executor, running) : reported.key;
    const run = { ...reported, key, superseded };
    this.#runs.add(run);
    if (!superseded) {
      step.markAssigned(task.index);
    }
    if (wanted) {
      step.saveCheckpoint(task.index, running.checkpoint);
      job.markStarted();
    } else {
      this.stop(run, 'superseded run', now);
    }
    return key;
  }

  /** Handles a run that the executor's report does not list. */
  #handleMissing(run: Run, report: ExecutorReport, now: Millis): void {
    if (isUnanswered(run, report.sentAt)) {
      // The start may still be in flight; a stop of the attempt makes the executor refuse it.
      this.stop(run, 'start unanswered', now);
      return;
    }
    if (run.confirmedAt !== undefined && report.sentAt >= run.confirmedAt) {
      this.#drop(run);
    }
  }

  #sendStop(run: Run, why: string, now: Millis): void {
    this.#runs.update(run, { stopSentAt: now });
    const { executor, task, attempt } = run;
    this.#decisions.push({ type: 'stop', executor, task, attempt, why });
  }

  /** Removes a run and requeues its task, unless that is done or has another run, stopping ones included. */
  #drop(run: Run): void {
    this.#runs.remove(run.key);
    const job = this.#jobs.get(run.task.jobId);
    if (!this.#runs.hasRunOf(run.task)) {
      job?.step(run.task)?.requeue(run.task.index);
    }
    this.#markFreed(run, job);
  }

  /** Both pools may get starts: the executor may have been moved to another one than the job's. */
  #markFreed(run: Run, job: Job | undefined): void {
    const pools = [this.#executors.get(run.executor)?.info.pool, job?.policy.pool];
    pools.forEach((pool) => {
      if (pool !== undefined) {
        this.#agenda.mark(pool);
      }
    });
    this.#agenda.usageDecreased(run.team);
  }

  /** The run that an answer or a report refers to, or undefined if it is not on record. */
  current(task: TaskRef, attempt: number, executor: ExecutorId): Run | undefined {
    const run = this.#runs.get(taskKey(task));
    return run?.attempt === attempt && run.executor === executor
      ? run
      : this.#runs.get(attemptKeyAt(executor, { task, attempt }));
  }
}

/** Whether an executor that was polled at `polledAt` would list the run if it had begun in time. */
function isUnanswered({ phase, orderedAt }: Run, polledAt: Millis): boolean {
  // The answer to a start may be lost within the owner, so that the run stays in phase `starting`.
  return (
    (phase === 'unknown' && polledAt >= orderedAt) ||
    (phase === 'starting' && polledAt >= orderedAt + START_ANSWER_LIMIT_MS)
  );
}

/** Whether the executor confirmed this owner's start after the poll of its last report was sent. */
function isConfirmedSince(run: Run, lastReportAt: Millis = -Infinity): boolean {
  const { phase, startedAt, confirmedAt = -Infinity } = run;
  return phase === 'running' && startedAt !== undefined && confirmedAt > lastReportAt;
}

/**
 * Whether decisions depend on the percent or the gauge of a confirmed run: on the readiness of lasting
 * tasks, and on the latency of tasks with a target. Those of other runs change with nearly every report.
 */
function isObserved({ lasting, targetMs }: Run): boolean {
  return lasting || targetMs > 0;
}
