import type { ExecutorId, JobId, JobProgress, Millis } from '@turmerichoist/core';

/** An acknowledgement that is held back until all progress decided before it is stored. */
export interface PendingAcknowledgement {
  readonly executor: ExecutorId;
  readonly startedWallMs: Millis;
  /** Sequence number of the last ended run that is acknowledged. */
  readonly through: number;
}

/** What waits to be stored. */
export interface ProgressBacklog {
  /** Jobs whose latest progress is not stored yet. */
  readonly jobs: number;
  readonly acknowledgements: number;
  /** Age of the oldest change that is not stored yet; 0 without one. */
  readonly oldestAgeMs: Millis;
}

/** The latest progress of a job that waits to be stored. */
export interface QueuedProgress {
  readonly job: JobId;
  readonly progress: JobProgress;
  /** Position of the oldest change in it that is not stored. */
  readonly position: number;
  readonly queuedAt: Millis;
}

/** Limits of one batch. */
export interface BatchLimits {
  readonly maxRows: number;
  /** Rows that are kept for the oldest changes while ended jobs go first. */
  readonly oldestRows: number;
  /** Size of the encoded progress; half of it is for ended jobs. */
  readonly maxBytes: number;
}

interface QueuedAcknowledgement {
  readonly acknowledgement: PendingAcknowledgement;
  /** Position of the last change that was queued before it. */
  readonly after: number;
}

/**
 * Progress that waits to be stored, in the order of the oldest change of each job, and the
 * acknowledgements behind it. At most one batch is taken at a time.
 */
export class ProgressQueue {
  readonly #limits: BatchLimits;
  /** In the order of their positions, since replacing a value keeps its place in the map. */
  readonly #queued = new Map<JobId, QueuedProgress>();
  /** Queued jobs that have ended. */
  readonly #ended = new Set<JobId>();
  /** Taken and not known to be stored. */
  #batch: readonly QueuedProgress[] = [];
  /** By executor, each list in the order of its sequence numbers. */
  readonly #acknowledgements = new Map<ExecutorId, readonly QueuedAcknowledgement[]>();
  #lastPosition = 0;

  constructor(limits: BatchLimits) {
    this.#limits = limits;
  }

  /** Whether there is nothing to store and nothing to release. */
  get isEmpty(): boolean {
    return this.#queued.size === 0 && this.#batch.length === 0 && this.#acknowledgements.size === 0;
  }

  /** A job keeps its place when its progress changes again before it is taken. */
  add(job: JobId, progress: JobProgress, now: Millis): void {
    this.#lastPosition += 1;
    const { position, queuedAt } = this.#queued.get(job) ?? {
      position: this.#lastPosition,
      queuedAt: now,
    };
    this.#queued.set(job, { job, progress, position, queuedAt });
    if (progress.endedWallMs > 0) {
      this.#ended.add(job);
    }
  }

  /**
   * An acknowledgement that is queued already keeps its place: executors list ended runs again
   * until they are acknowledged, and each list is acknowledged.
   */
  acknowledge(acknowledgement: PendingAcknowledgement): void {
    const { executor, startedWallMs, through } = acknowledgement;
    const queued = this.#acknowledgements.get(executor) ?? [];
    const last = queued.at(-1)?.acknowledgement;
    const added = { acknowledgement, after: this.#lastPosition };
    if (last?.startedWallMs !== startedWallMs) {
      this.#acknowledgements.set(executor, [added]);
    } else if (through > last.through) {
      this.#acknowledgements.set(executor, [...queued, added]);
    }
  }

  /** Takes the next batch: jobs that have ended, which callers see, before others that progress. */
  take(): readonly QueuedProgress[] {
    const { maxRows, oldestRows } = this.#limits;
    this.#batch = this.#takeOf(this.#ended, maxRows - oldestRows);
    const others = this.#takeOf(this.#queued.keys(), maxRows - this.#batch.length);
    this.#batch = [...this.#batch, ...others];
    return this.#batch;
  }

  /** Takes the first of these jobs, up to half of a batch's size and at least one. */
  #takeOf(jobs: Iterable<JobId>, maxRows: number): readonly QueuedProgress[] {
    const taken: QueuedProgress[] = [];
    let bytes = 0;
    for (const job of first(jobs, maxRows)) {
      const queued = this.#queued.get(job);
      bytes += queued === undefined ? 0 : progressBytes(queued.progress);
      if (taken.length > 0 && bytes > this.#limits.maxBytes / 2) {
        break;
      }
      taken.push(...this.#remove(job));
    }
    return taken;
  }

  /** Records that the batch is stored. Returns the acknowledgements with nothing left before them. */
  release(): readonly PendingAcknowledgement[] {
    this.#batch = [];
    const oldest = this.#oldest()?.position ?? Infinity;
    return [...this.#acknowledgements].flatMap(([executor, queued]) => {
      const held = queued.filter(({ after }) => after >= oldest);
      if (held.length === 0) {
        this.#acknowledgements.delete(executor);
      } else if (held.length < queued.length) {
        this.#acknowledgements.set(executor, held);
      }
      const released = queued[queued.length - held.length - 1];
      return released === undefined ? [] : [released.acknowledgement];
    });
  }

  backlog(now: Millis): ProgressBacklog {
    const lists = [...this.#acknowledgements.values()];
    return {
      jobs: new Set([...this.#queued.keys(), ...this.#batch.map(({ job }) => job)]).size,
      acknowledgements: lists.reduce((sum, queued) => sum + queued.length, 0),
      oldestAgeMs: Math.max(0, now - (this.#oldest()?.queuedAt ?? now)),
    };
  }

  #oldest(): QueuedProgress | undefined {
    const [next] = this.#queued.values();
    return [...this.#batch, ...(next === undefined ? [] : [next])].reduce<
      QueuedProgress | undefined
    >(
      (oldest, one) => (oldest === undefined || one.position < oldest.position ? one : oldest),
      undefined,
    );
  }

  #remove(job: JobId): readonly QueuedProgress[] {
    const queued = this.#queued.get(job);
    this.#queued.delete(job);
    this.#ended.delete(job);
    return queued === undefined ? [] : [queued];
  }
}

/** Size of a job's encoded progress, which has no characters of several bytes. */
export function progressBytes(progress: JobProgress): number {
  return JSON.stringify(progress).length;
}

function first<T>(values: Iterable<T>, count: number): readonly T[] {
  const taken: T[] = [];
  for (const value of values) {
    if (taken.length >= count) {
      break;
    }
    taken.push(value);
  }
  return taken;
}
