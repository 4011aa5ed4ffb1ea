import type { Millis } from '../types/index.js';
import type { Job } from './job.js';
import type { StepSpec } from './model.js';
import type { TaskDurations } from './task-durations.js';

/** Decides which job gets room first. */
export interface JobOrder {
  /** Jobs of one pool, the first to be served first. */
  sort(jobs: readonly Job[], now: Millis): readonly Job[];
}

/** Likely work of a job that is not done, in processor-milliseconds. */
export function jobWork(job: Job, durations: TaskDurations): number {
  let work = 0;
  for (const { steps } of job.occurrences) {
    for (const { spec, doneCount } of steps) {
      const durationMs = durations.expectedMs(job.accepted.queue, spec.estimateMs);
      work += spec.resources.processors * durationMs * (spec.taskCount - doneCount);
    }
  }
  return work;
}

/** Declared duration of the longest chain of steps. */
export function longestChainMs(steps: readonly StepSpec[]): Millis {
  const ends: Millis[] = [];
  for (const step of steps) {
    const start = Math.max(0, ...step.after.map((other) => ends[other] ?? 0));
    ends.push(start + step.estimateMs);
  }
  return Math.max(0, ...ends);
}

/** Own clock by which the job should be completed. */
export function objectiveAt(job: Job): Millis {
  const { slackFactor, targetLatencyMs } = job.policy;
  return job.times.firstDueAt + slackFactor * longestChainMs(job.stepSpecs) + targetLatencyMs;
}

/** Jobs later than this many times their objective are worth nothing any more. */
const LATE_FACTOR = 3;

/** 0: lasting, 1: in time, 2: late, 3: too late to count. */
function rank(job: Job, now: Millis): number {
  if (job.lasting) {
    return 0;
  }
  const objective = objectiveAt(job) - job.times.firstDueAt;
  const age = now - job.times.firstDueAt;
  if (age <= objective) {
    return 1;
  }
  return age <= LATE_FACTOR * objective ? 2 : 3;
}

interface Ranked {
  readonly job: Job;
  readonly rank: number;
  readonly started: boolean;
  readonly work: number;
}

function compare(a: Ranked, b: Ranked): number {
  if (a.rank !== b.rank) {
    return a.rank - b.rank;
  }
  if (a.job.policy.priority !== b.job.policy.priority) {
    return a.job.policy.priority - b.job.policy.priority;
  }
  if (a.started !== b.started) {
    return a.started ? -1 : 1;
  }
  return a.work - b.work;
}

/**
 * Lasting jobs first, then jobs that are still in time before late ones; started jobs before new
 * ones, and the one with the least work left first. Under a load of several times the capacity this
 * completes the most jobs in time.
 */
export class LeastWorkFirst implements JobOrder {
  readonly #durations: TaskDurations;

  constructor(durations: TaskDurations) {
    this.#durations = durations;
  }

  sort(jobs: readonly Job[], now: Millis): readonly Job[] {
    return jobs
      .map((job) => ({
        job,
        rank: rank(job, now),
        started: job.state === 'running',
        work: jobWork(job, this.#durations),
      }))
      .sort(compare)
      .map(({ job }) => job);
  }
}
