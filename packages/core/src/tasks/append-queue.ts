import type { Millis } from '../types/index.js';
import type { TaskDecision } from './messages.js';
import type { TaskLogEvent, TaskRecord } from './model.js';

/** Shortest time between two writes to the log of a pool. */
export const TASK_BATCH_MS = 50;
/** Largest number of events in one write. */
export const TASK_BATCH_EVENTS = 500;
/** First and longest wait before a write is repeated; a store that is down is not to be flooded. */
const RETRY_MIN_MS = 250;
const RETRY_MAX_MS = 4_000;

export interface QueuedEvent<E> {
  readonly event?: TaskLogEvent;
  /** State of the task after the event. */
  readonly record?: TaskRecord;
  /** Carried out once the event is surely in the log. */
  readonly effect?: E;
}

type Append = Extract<TaskDecision, { type: 'append' }>;

interface Batch<E> {
  readonly decision: Append;
  readonly entries: readonly QueuedEvent<E>[];
}

/**
 * Writes log events in batches, one at a time and in order, and holds back their effects until the
 * write is confirmed. A batch whose fate is unknown is sent again under the same number, so that it
 * is in the log once.
 */
export class AppendQueue<E> {
  #waiting: QueuedEvent<E>[] = [];
  #open: Batch<E> | undefined;
  readonly #epoch: number;
  #nextBatch: number;
  #earliest: Millis = 0;
  #retryMs = RETRY_MIN_MS;
  #resend = false;

  constructor(epoch: number, nextBatch: number) {
    this.#epoch = epoch;
    this.#nextBatch = nextBatch;
  }

  /** Number that the next new batch will have. */
  get nextBatch(): number {
    return this.#nextBatch;
  }

  /** Entries that wait behind the batch that is being written. */
  get backlog(): number {
    return this.#waiting.length;
  }

  add(entry: QueuedEvent<E>): void {
    this.#waiting.push(entry);
  }

  /** The next write, if one is due. `fill` may add events to a batch that has room. */
  next(now: Millis, fill: (room: number) => FillResult<E>): Append | undefined {
    if (now < this.#earliest) {
      return undefined;
    }
    if (this.#open !== undefined) {
      return this.#resend ? this.#sendAgain(now) : undefined;
    }
    const entries = this.#take(TASK_BATCH_EVENTS);
    const filled = fill(TASK_BATCH_EVENTS - entries.length);
    const all = [...entries, ...filled.entries];
    const events = all.flatMap(({ event }) => (event === undefined ? [] : [event]));
    if (all.length === 0) {
      return undefined;
    }
    const drop = filled.dropBefore === undefined ? {} : { dropBefore: filled.dropBefore };
    const head = { type: 'append', epoch: this.#epoch, batch: this.#nextBatch } as const;
    const decision: Append = { ...head, events, ...drop };
    this.#open = { decision, entries: all };
    this.#nextBatch += 1;
    this.#earliest = now + TASK_BATCH_MS;
    return decision;
  }

  /** Returns the entries of the batch, or nothing when it is not the one being written. */
  confirm(batch: number): readonly QueuedEvent<E>[] {
    if (this.#open?.decision.batch !== batch) {
      return [];
    }
    const { entries } = this.#open;
    this.#open = undefined;
    this.#resend = false;
    this.#retryMs = RETRY_MIN_MS;
    return entries;
  }

  /** The write failed or its fate is unknown: it is repeated after a growing wait. */
  retry(batch: number, now: Millis): void {
    if (this.#open?.decision.batch !== batch) {
      return;
    }
    this.#resend = true;
    this.#earliest = now + this.#retryMs;
    this.#retryMs = Math.min(RETRY_MAX_MS, this.#retryMs * 2);
  }

  /** Effects that were never carried out, with whether their event may be in the log. */
  abandon(): readonly { readonly effect: E; readonly sent: boolean }[] {
    const sent = this.#open?.entries ?? [];
    const all = [...sent, ...this.#waiting];
    return all.flatMap(({ effect }, index) =>
      effect === undefined ? [] : [{ effect, sent: index < sent.length }],
    );
  }

  #sendAgain(now: Millis): Append | undefined {
    this.#resend = false;
    this.#earliest = now + TASK_BATCH_MS;
    return this.#open?.decision;
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
