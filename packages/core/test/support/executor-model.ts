import {
  taskKey,
  type RunEndReason,
  type ExecutorInfo,
  type Millis,
  type EndedRun,
  type ReportedRun,
  type StartOutcome,
  type TaskKey,
  type TaskRef,
} from '../../src/index.js';

interface ModelRun {
  readonly task: TaskRef;
  readonly attempt: number;
  readonly endsAt: Millis;
  readonly reason: RunEndReason;
}

export interface ModelStart {
  readonly task: TaskRef;
  readonly attempt: number;
  readonly fence: number;
  /** End of the lease on the executor's clock. */
  readonly deadline: Millis;
  readonly now: Millis;
  readonly durationMs: Millis;
  readonly fails: boolean;
}

export interface ModelReport {
  readonly startedWallMs: Millis;
  /** Time on the executor's clock. */
  readonly clockMs: Millis;
  readonly running: readonly ReportedRun[];
  /** At most `maxListedEnds`, the first ones. */
  readonly ended: readonly EndedRun[];
  readonly moreEnded: boolean;
  /** `done` ends that this poll has acknowledged. */
  readonly newlyAcknowledged: readonly AcknowledgedEnd[];
}

export interface AcknowledgedEnd {
  readonly task: TaskRef;
  readonly endedAt: Millis;
}

interface ModelEnd extends EndedRun {
  readonly endedAt: Millis;
}

const START_UP_MS: Millis = 500;
/** A longer lease is shortened to this, as on the users' platform. */
const MAX_LEASE_MS: Millis = 6_000;
/** Clock of the first process when the simulation begins; later ones count from their start. */
const FIRST_CLOCK_MS: Millis = 500_000;
const PERCENT = 100;

/**
 * An executor as the platform specifies it: leases, fencing tokens, attempt numbers, and ended runs
 * that are reported until they are acknowledged.
 */
export class ExecutorModel {
  info: ExecutorInfo;
  readonly runs = new Map<TaskKey, ModelRun>();
  readonly #maxListedEnds: number;
  readonly #stopMs: Millis;
  #ends: ModelEnd[] = [];
  readonly #attempts = new Map<TaskKey, number>();
  /** Ends up to this number preceded an expiry of the lease; only later ones are acknowledged. */
  #lastLapseSeq = 0;
  #seq = 0;
  #fence = -1;
  #leaseEndsAt: Millis = -Infinity;
  /** Time at which its clock showed 0. */
  #clockZeroAt: Millis = -FIRST_CLOCK_MS;

  /** `stopMs`: time that a stop takes, in which the run still takes its capacity. */
  constructor(info: ExecutorInfo, maxListedEnds: number, stopMs: Millis = 0) {
    this.info = info;
    this.#maxListedEnds = maxListedEnds;
    this.#stopMs = stopMs;
  }

  restart(now: Millis): void {
    this.info = { ...this.info, startedWallMs: now + 2 };
    this.runs.clear();
    this.#ends = [];
    this.#attempts.clear();
    this.#lastLapseSeq = 0;
    this.#seq = 0;
    this.#fence = -1;
    this.#leaseEndsAt = -Infinity;
    this.#clockZeroAt = now;
  }

  clock(now: Millis): Millis {
    return now - this.#clockZeroAt;
  }

  /** Extends the lease to a time on its clock. */
  #extendLease(deadline: Millis, now: Millis): void {
    const end = Math.min(deadline + this.#clockZeroAt, now + MAX_LEASE_MS);
    this.#leaseEndsAt = Math.max(this.#leaseEndsAt, end);
  }

  /** Applies what has happened until `now`: runs that ended, a lease that expired. */
  settle(now: Millis): void {
    for (const run of [...this.runs.values()]) {
      if (run.endsAt <= Math.min(now, this.#leaseEndsAt)) {
        this.#end(run, run.reason, run.endsAt);
      }
    }
    if (now > this.#leaseEndsAt) {
      [...this.runs.values()].forEach((run) => {
        this.#end(run, 'lapsed', now);
      });
      this.#lastLapseSeq = this.#seq;
    }
  }

  start(order: ModelStart): StartOutcome {
    const { task, attempt, fence, deadline, now } = order;
    this.settle(now);
    if (fence < this.#fence) {
      return 'fenced';
    }
    this.#fence = fence;
    const key = taskKey(task);
    if (this.runs.get(key)?.attempt === attempt) {
      return 'started';
    }
    if (attempt <= (this.#attempts.get(key) ?? 0) || this.runs.has(key)) {
      return 'old-attempt';
    }
    if (deadline <= this.clock(now)) {
      return 'too-late';
    }
    this.#extendLease(deadline, now);
    const reason = order.fails ? 'failed' : 'done';
    this.runs.set(key, { task, attempt, endsAt: now + order.durationMs, reason });
    return 'started';
  }

  stop(task: TaskRef, attempt: number, fence: number, now: Millis): void {
    this.settle(now);
    if (fence < this.#fence) {
      return;
    }
    this.#fence = fence;
    const key = taskKey(task);
    this.#attempts.set(key, Math.max(attempt, this.#attempts.get(key) ?? 0));
    const run = this.runs.get(key);
    if (run !== undefined && run.attempt <= attempt && now + this.#stopMs < run.endsAt) {
      this.runs.set(key, { ...run, endsAt: now + this.#stopMs, reason: 'stopped' });
      this.settle(now);
    }
  }

  /** `lease`: its new end on the executor's clock. */
  hold(
    fence: number,
    through: number,
    lease: Millis | undefined,
    now: Millis,
  ): ModelReport | undefined {
    this.settle(now);
    if (fence < this.#fence) {
      return undefined;
    }
    this.#fence = fence;
    this.#extendLease(lease ?? -Infinity, now);
    const newlyAcknowledged = this.#ends
      .filter(({ seq, reason }) => seq <= through && reason === 'done' && seq > this.#lastLapseSeq)
      .map(({ task, endedAt }) => ({ task, endedAt }));
    this.#ends = this.#ends.filter(({ seq }) => seq > through);
    const running = [...this.runs.values()].map(({ task, attempt, endsAt }) => ({
      task,
      attempt,
      checkpoint: '',
      percent: endsAt === Infinity || endsAt - now < START_UP_MS ? PERCENT : 0,
      gauge: 0,
    }));
    return {
      startedWallMs: this.info.startedWallMs,
      clockMs: this.clock(now),
      running,
      ended: this.#ends
        .slice(0, this.#maxListedEnds)
        .map(({ seq, task, attempt, reason, checkpoint }) => ({
          seq,
          task,
          attempt,
          reason,
          checkpoint,
        })),
      moreEnded: this.#ends.length >= this.#maxListedEnds,
      newlyAcknowledged,
    };
  }

  #end({ task, attempt }: ModelRun, reason: RunEndReason, endedAt: Millis): void {
    const key = taskKey(task);
    this.runs.delete(key);
    this.#attempts.set(key, Math.max(attempt, this.#attempts.get(key) ?? 0));
    this.#seq += 1;
    this.#ends.push({ seq: this.#seq, task, attempt, reason, checkpoint: '', endedAt });
  }
}
