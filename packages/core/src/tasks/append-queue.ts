import type { Millis } from '../types/index.js';
import type { TaskDecision } from './messages.js';
import type { TaskLogEvent, TaskRecord } from './model.js';

/** Minimum time between two writes to the log of a pool. */
export const TASK_BATCH_INTERVAL_MS = 50;
/** Maximum number of entries in one batch. */
export const TASK_BATCH_MAX_EVENTS = 500;
/**
 * Bounds of the exponential backoff between retries, so that an unavailable store is not flooded.
 */
const RETRY_MIN_MS = 250;
const RETRY_MAX_MS = 4_000;

export interface QueuedEvent<E> {
  readonly event?: TaskLogEvent;
  /** State of the task after the event. */
  readonly record?: TaskRecord;
  /** Runs once the event is durable in the log. */
  readonly effect?: E;
}

type Append = Extract<TaskDecision, { type: 'append' }>;

interface Batch<E> {
  readonly decision: Append;
  readonly entries: readonly QueuedEvent<E>[];
}

/**
 * Writes log events in batches, one in flight at a time and in order, and holds back their effects
 * until the write is confirmed. A batch whose outcome is unknown is sent again under the same
 * number, so that it is in the log only once.
 */
export class AppendQueue<E> {
  #waiting: QueuedEvent<E>[] = [];
  #inFlight: Batch<E> | undefined;
  readonly #epoch: number;
  #nextBatch: number;
  #nextWriteAt: Millis = 0;
  #retryMs = RETRY_MIN_MS;
  #resend = false;

  constructor(epoch: number, nextBatch: number) {
    this.#epoch = epoch;
    this.#nextBatch = nextBatch;
  }

  /** Number of the next new batch. */
  get nextBatch(): number {
    return this.#nextBatch;
  }

  /** Number of entries queued behind the batch in flight. */
  get backlog(): number {
    return this.#waiting.length;
  }

  add(entry: QueuedEvent<E>): void {
    this.#waiting.push(entry);
  }

  /** Returns the next write, if one is due. `fill` may add up to `room` events to a new batch. */
  next(now: Millis, fill: (room: number) => FillResult<E>): Append | undefined {
    if (now < this.#nextWriteAt) {
      return undefined;
    }
    if (this.#inFlight !== undefined) {
      return this.#resend ? this.#resendBatch(now) : undefined;
    }
    const entries = this.#take(TASK_BATCH_MAX_EVENTS);
    const filled = fill(TASK_BATCH_MAX_EVENTS - entries.length);
    const all = [...entries, ...filled.entries];
    const events = all.flatMap(({ event }) => (event === undefined ? [] : [event]));
    if (all.length === 0) {
      return undefined;
    }
    const drop = filled.dropBefore === undefined ? {} : { dropBefore: filled.dropBefore };
    const head = { type: 'append', epoch: this.#epoch, batch: this.#nextBatch } as const;
    const decision: Append = { ...head, events, ...drop };
    this.#inFlight = { decision, entries: all };
    this.#nextBatch += 1;
    this.#nextWriteAt = now + TASK_BATCH_INTERVAL_MS;
    return decision;
  }

  /** Completes the batch in flight and returns its entries; empty if `batch` is another one. */
  confirm(batch: number): readonly QueuedEvent<E>[] {
    if (this.#inFlight?.decision.batch !== batch) {
      return [];
    }
    const { entries } = this.#inFlight;
    this.#inFlight = undefined;
    this.#resend = false;
    this.#retryMs = RETRY_MIN_MS;
    return entries;
  }

  /**
   * Schedules a retry with exponential backoff after the write failed or its outcome is unknown.
   */
  retry(batch: number, now: Millis): void {
    if (this.#inFlight?.decision.batch !== batch) {
      return;
    }
    this.#resend = true;
    this.#nextWriteAt = now + this.#retryMs;
    this.#retryMs = Math.min(RETRY_MAX_MS, this.#retryMs * 2);
  }

  /** Returns the effects that never ran. `sent` is true if the event may be in the log. */
  abandon(): readonly { readonly effect: E; readonly sent: boolean }[] {
    const sent = this.#inFlight?.entries ?? [];
    const all = [...sent, ...this.#waiting];
    return all.flatMap(({ effect }, index) =>
      effect === undefined ? [] : [{ effect, sent: index < sent.length }],
    );
  }

  #resendBatch(now: Millis): Append | undefined {
    this.#resend = false;
    this.#nextWriteAt = now + TASK_BATCH_INTERVAL_MS;
    return this.#inFlight?.decision;
  }

  #take(count: number): QueuedEvent<E>[] {
    const taken = this.#waiting.slice(0, count);
    this.#waiting = this.#waiting.slice(count);
    return taken;
  }
}

export interface FillResult<E> {
  readonly entries: readonly QueuedEvent<E>[];
  readonly dropBefore?: number;
}
