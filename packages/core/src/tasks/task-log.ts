import type { Millis, RequestId, TaskId } from '../types/index.js';
import { AppendQueue } from './append-queue.js';
import { LogCompactor } from './log-compactor.js';
import type { StopReason, TaskAnswer, TaskDecision } from './messages.js';
import type { Fence, TaskLogEvent, TaskRecord } from './model.js';
import { TaskStore } from './task-store.js';

/** Action to take once an event is durable in the log. */
export type LogEffect =
  | { readonly type: 'answer'; readonly request: RequestId; readonly answer: () => TaskAnswer }
  | { readonly type: 'send-lease'; readonly id: TaskId; readonly fence: Fence }
  | {
      readonly type: 'send-stop';
      readonly id: TaskId;
      readonly fence: Fence;
      readonly reason: StopReason;
    };

interface Unconfirmed {
  /** Number of events of the task that are not confirmed yet. */
  count: number;
  /** The task as of its last confirmed event. */
  confirmed: TaskRecord | undefined;
}

/**
 * Task states of one pool and their log. Decisions are based on the state with all events applied;
 * clients see a task as of its last confirmed event.
 */
export class TaskLog {
  readonly #store = new TaskStore();
  readonly #queue: AppendQueue<LogEffect>;
  readonly #compactor: LogCompactor;
  readonly #unconfirmed = new Map<TaskId, Unconfirmed>();

  constructor(epoch: number, log: readonly TaskLogEvent[], nextBatch: number) {
    for (const event of log) {
      this.#store.apply(event);
    }
    this.#queue = new AppendQueue(epoch, nextBatch);
    this.#compactor = new LogCompactor(this.#store, log.length);
  }

  /** Number of entries queued behind the batch in flight. */
  get backlog(): number {
    return this.#queue.backlog;
  }

  get(id: TaskId): TaskRecord | undefined {
    return this.#store.get(id);
  }

  records(): Iterable<TaskRecord> {
    return this.#store.records();
  }

  /** The task as of its last confirmed event. */
  confirmed(id: TaskId): TaskRecord | undefined {
    const open = this.#unconfirmed.get(id);
    return open === undefined ? this.#store.get(id) : open.confirmed;
  }

  /**
   * Applies and queues an event. Returns undefined and drops `effect` if the event does not apply.
   */
  write(event: TaskLogEvent, effect?: LogEffect): TaskRecord | undefined {
    const id = idOf(event);
    const before = this.#store.get(id);
    const record = this.#store.apply(event);
    if (record === undefined) {
      return undefined;
    }
    const open = this.#unconfirmed.get(id);
    if (open === undefined) {
      this.#unconfirmed.set(id, { count: 1, confirmed: before });
    } else {
      open.count += 1;
    }
    this.#queue.add({ event, record, ...(effect === undefined ? {} : { effect }) });
    return record;
  }

  /** Queues `effect` to run once everything written so far is confirmed. */
  whenConfirmed(effect: LogEffect): void {
    this.#queue.add({ effect });
  }

  next(now: Millis): Extract<TaskDecision, { type: 'append' }> | undefined {
    return this.#queue.next(now, (room) => this.#compactor.fill(this.#queue.nextBatch, room));
  }

  confirm(batch: number): readonly LogEffect[] {
    const entries = this.#queue.confirm(batch);
    this.#compactor.count(entries.length);
    for (const { record } of entries) {
      if (record !== undefined) {
        this.#markConfirmed(record);
      }
    }
    return entries.flatMap(({ effect }) => (effect === undefined ? [] : [effect]));
  }

  retry(batch: number, now: Millis): void {
    this.#queue.retry(batch, now);
  }

  abandon(): readonly { readonly effect: LogEffect; readonly sent: boolean }[] {
    return this.#queue.abandon();
  }

  #markConfirmed(record: TaskRecord): void {
    const { id } = record.task;
    const open = this.#unconfirmed.get(id);
    if (open === undefined) {
      return;
    }
    open.confirmed = record;
    open.count -= 1;
    if (open.count === 0) {
      this.#unconfirmed.delete(id);
    }
  }
}

function idOf(event: TaskLogEvent): TaskId {
  if (event.type === 'submitted') {
    return event.task.id;
  }
  return event.type === 'record' ? event.record.task.id : event.id;
}
