import type { Resources } from '../tasks/model.js';
import { NO_RESOURCES } from '../tasks/resource-arithmetic.js';
import type { Millis } from '../types/index.js';
import type { Job } from './job.js';
import type { TaskDurations } from './task-durations.js';
import type { ShareStanding, TeamShares } from './team-shares.js';

/**
 * Decides which work yields when there is too little capacity: of two jobs, the one that is served
 * later. All parts that let work wait or refuse it ask this order; none has its own.
 */
export interface JobOrdering {
  /**
   * Ranks a job as of now. With time alone, a rank never gets better. Without `shares`, its team
   * counts as below its share, as in a pool that is not full.
   */
  rank(job: Job, now: Millis, shares?: TeamShares): RankedJob;
  /** Negative if `a` is served before `b`; jobs that compare equal are served by arrival. */
  compare(a: ServiceRank, b: ServiceRank): number;
}

/** Estimated work that a job has left, in processor-milliseconds. */
export function remainingWork(job: Job, durations: TaskDurations): number {
  let work = 0;
  for (const { steps } of job.occurrences) {
    for (const { spec, doneCount } of steps) {
      const durationMs = durations.expectedMs(job.accepted.queue, spec.estimateMs);
      work += spec.resources.processors * durationMs * (spec.taskCount - doneCount);
    }
  }
  return work;
}

/** Monotonic time by which the job should be completed to meet its latency objective. */
export function objectiveAt(job: Job): Millis {
  const { slackFactor, targetLatencyMs } = job.policy;
  return job.times.firstDueAt + slackFactor * job.criticalPathMs + targetLatencyMs;
}

/** Jobs older than this many times their latency objective have no value any more. */
export const MAX_LATENESS_FACTOR = 3;

/** `worthless`: too late to have any value. */
export type Lateness = 'in-time' | 'late' | 'worthless';

/** How late a finite job is for its latency objective. */
export function latenessOf(job: Job, now: Millis): Lateness {
  const objective = objectiveAt(job) - job.times.firstDueAt;
  const age = now - job.times.firstDueAt;
  if (age <= objective) {
    return 'in-time';
  }
  return age <= MAX_LATENESS_FACTOR * objective ? 'late' : 'worthless';
}

/** What a job is worth: whether it is lasting, or how late. */
export type JobValue = 'lasting' | Lateness;

type Ranks<T extends string> = Readonly<Record<T, number>>;

/** Within each of these, the shares of teams decide first. */
const CLASS_RANK: Ranks<JobValue> = { lasting: 0, 'in-time': 1, late: 1, worthless: 2 };
const LATENESS_RANK: Ranks<JobValue> = { lasting: 0, 'in-time': 0, late: 1, worthless: 2 };
const STANDING_RANK: Ranks<ShareStanding> = {
  below: 0,
  'in-reach': 1,
  reached: 2,
};

/** What the place in the order depends on, also of a job that has not been submitted. */
export interface ServiceRank {
  readonly job: Pick<Job, 'policy'>;
  readonly value: JobValue;
  /** How its team's usage of the pool relates to its share. Always `below` for lasting jobs. */
  readonly standing: ShareStanding;
  /** Since when its team lacks some of its share, if the team is overdue; monotonic. */
  readonly overdueSince: Millis | undefined;
  readonly started: boolean;
  /** Estimated work that is left, in processor-milliseconds. */
  readonly work: number;
}

/** Rank of a job as of one time. */
export interface RankedJob extends ServiceRank {
  readonly job: Job;
  /** Capacity that its next task takes. */
  readonly nextTask: Resources;
}

/** The same rank as of the present usage of the job's team. */
export function withShare(ranked: RankedJob, shares: TeamShares): RankedJob {
  const { job, value, nextTask } = ranked;
  if (value === 'lasting') {
    return ranked;
  }
  const { team } = job.accepted;
  const standing = shares.standing(team, nextTask, value === 'worthless');
  const overdueSince =
    value === 'worthless' || standing === 'reached' ? undefined : shares.overdueSince(team);
  return standing === ranked.standing && overdueSince === ranked.overdueSince
    ? ranked
    : { ...ranked, standing, overdueSince };
}

/** Overdue teams come first, that which has waited longest before the others. */
function compareOverdue(a: ServiceRank, b: ServiceRank): number {
  if (a.overdueSince === b.overdueSince) {
    return 0;
  }
  return (a.overdueSince ?? Infinity) < (b.overdueSince ?? Infinity) ? -1 : 1;
}

function compareRanked(a: ServiceRank, b: ServiceRank): number {
  const byRank =
    CLASS_RANK[a.value] - CLASS_RANK[b.value] ||
    STANDING_RANK[a.standing] - STANDING_RANK[b.standing] ||
    compareOverdue(a, b) ||
    LATENESS_RANK[a.value] - LATENESS_RANK[b.value];
  if (byRank !== 0) {
    return byRank;
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
 * Sorts lasting jobs first and worthless ones last. Between them, jobs of teams below their share
 * come first, and of them the overdue ones; then jobs in time, by priority, started before new jobs, and least remaining work. Under
 * a load of several times the capacity, the order within a team completes the most jobs in time.
 */
export class LeastWorkFirst implements JobOrdering {
  readonly #durations: TaskDurations;

  constructor(durations: TaskDurations) {
    this.#durations = durations;
  }

  rank(job: Job, now: Millis, shares?: TeamShares): RankedJob {
    const ranked = {
      job,
      value: job.lasting ? 'lasting' : latenessOf(job, now),
      standing: 'below',
      overdueSince: undefined,
      nextTask: job.ready(now)[0]?.step.need.resources ?? NO_RESOURCES,
      started: job.state === 'running',
      work: remainingWork(job, this.#durations),
    } as const;
    return shares === undefined ? ranked : withShare(ranked, shares);
  }

  compare(a: ServiceRank, b: ServiceRank): number {
    return compareRanked(a, b);
  }
}
