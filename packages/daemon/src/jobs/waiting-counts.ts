import type { Clock, JobDirectory, Millis, QueueName } from '@turmerichoist/core';
import type { PublishedCounts } from './bulletin.js';
import { PublicationOrder, type LeaseRead } from './publication-order.js';

/**
 * Oldest counts that are answered: 2 s as agreed with callers, and the 3 s after which an accepted
 * job must be visible, less 1.2 s between building and storing a renewal and 0.3 s for the answer.
 */
export const MAX_COUNT_AGE_MS: Millis = 3_500;
/** Bounds the memory for accepted jobs; older ones are dropped first. */
const MAX_ACCEPTED = 10_000;

/** One read of the leader's lease row, with its counts. */
export interface CountsRead extends LeaseRead {
  readonly waiting: PublishedCounts | undefined;
}

export type CountAnswer =
  | { readonly type: 'count'; readonly count: number; readonly ageMs: Millis }
  | {
      readonly type: 'refused';
      /** `unpublished`: no counts yet; `outdated`: too old; `queue-unknown`: not in the counts. */
      readonly reason: 'unpublished' | 'outdated' | 'queue-unknown';
      /** Age of the latest counts; undefined if there are none. */
      readonly ageMs: Millis | undefined;
    };

interface KnownCounts {
  readonly byQueue: ReadonlyMap<QueueName, number>;
  readonly revision: number;
  /** Monotonic time of this member; all jobs stored before it are counted. */
  readonly readAt: Millis;
}

interface OwnJob {
  readonly queue: QueueName;
  readonly acceptedAt: Millis;
}

/** Answers the number of waiting jobs of a queue on any member, from what the leader published. */
export class WaitingCounts {
  readonly #clock: Clock;
  #known: KnownCounts | undefined;
  readonly #order = new PublicationOrder();
  /** Jobs accepted by this member that the published counts may not include, oldest first. */
  readonly #accepted: OwnJob[] = [];
  /** Revision of the configuration since which this member knows each queue. */
  #queueSince: ReadonlyMap<QueueName, number> = new Map();

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Age of the latest counts; undefined if there are none. */
  get ageMs(): Millis | undefined {
    return this.#known && this.#clock.now() - this.#known.readAt;
  }

  setDirectory({ config }: JobDirectory): void {
    const queues = config.callers.routes.map(({ queue }) => queue);
    this.#queueSince = new Map(
      queues.map((queue) => [queue, this.#queueSince.get(queue) ?? config.revision]),
    );
  }

  /** Processes a successful read of the lease row. Reads are passed on in the order of their send. */
  observe(read: CountsRead): void {
    const writtenAfter = this.#order.observe(read)?.writtenAfter;
    if (read.waiting !== undefined && writtenAfter !== undefined) {
      const { byQueue, revision, ageMs } = read.waiting;
      const readAt = writtenAfter - ageMs;
      this.#known = { byQueue: new Map(Object.entries(byQueue)), revision, readAt };
      this.#dropCounted();
    }
  }

  /** Records a job that this member has accepted and not known before. */
  recordAccepted(queue: QueueName): void {
    this.#accepted.push({ queue, acceptedAt: this.#clock.now() });
    this.#dropCounted();
  }

  count(queue: QueueName): CountAnswer {
    if (this.#known === undefined) {
      return { type: 'refused', reason: 'unpublished', ageMs: undefined };
    }
    const { byQueue, revision, readAt } = this.#known;
    const ageMs = this.#clock.now() - readAt;
    if (ageMs > MAX_COUNT_AGE_MS) {
      return { type: 'refused', reason: 'outdated', ageMs };
    }
    const published = byQueue.get(queue);
    const since = this.#queueSince.get(queue) ?? Infinity;
    if (published === undefined && since > revision) {
      return { type: 'refused', reason: 'queue-unknown', ageMs };
    }
    this.#dropCounted();
    const own = this.#accepted.filter((job) => job.queue === queue).length;
    return { type: 'count', count: (published ?? 0) + own, ageMs };
  }

  /** Drops jobs that the counts include, or that all counts include that are still answered. */
  #dropCounted(): void {
    const oldest = this.#clock.now() - MAX_COUNT_AGE_MS;
    const countedBefore = Math.max(this.#known?.readAt ?? -Infinity, oldest);
    const firstKept = this.#accepted.findIndex(({ acceptedAt }) => acceptedAt >= countedBefore);
    const counted = firstKept === -1 ? this.#accepted.length : firstKept;
    this.#accepted.splice(0, Math.max(counted, this.#accepted.length - MAX_ACCEPTED));
  }
}
