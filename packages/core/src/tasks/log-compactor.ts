import type { TaskId } from '../types/index.js';
import type { FillResult } from './append-queue.js';
import type { TaskStore } from './task-store.js';

/** Compaction starts once the log has more events than this minimum plus a number per task. */
const COMPACT_MIN_EVENTS = 2_000;
const COMPACT_EVENTS_PER_TASK = 2;
/**
 * Snapshot records added to one batch; limited so that a compaction does not delay other events.
 */
const RECORDS_PER_BATCH = 50;

/**
 * Bounds the length of the log replay. A compaction writes a snapshot record of every task, a few
 * with each batch. Once all are written, rows older than its start are deleted. On replay, the
 * snapshot of a task replaces the effect of events between the start of the compaction and the
 * snapshot.
 */
export class LogCompactor {
  readonly #store: TaskStore;
  #events = 0;
  #cycle: { readonly start: number; readonly ids: readonly TaskId[]; next: number } | undefined;

  constructor(store: TaskStore, replayedEvents: number) {
    this.#store = store;
    this.#events = replayedEvents;
  }

  count(events: number): void {
    this.#events += events;
  }

  /** Returns the snapshot records to append with batch `batch`, at most `room`. */
  fill<E>(batch: number, room: number): FillResult<E> {
    this.#startIfDue(batch);
    const cycle = this.#cycle;
    if (cycle === undefined) {
      return { entries: [] };
    }
    const end = Math.min(cycle.ids.length, cycle.next + Math.min(room, RECORDS_PER_BATCH));
    const ids = cycle.ids.slice(cycle.next, end);
    cycle.next = end;
    const entries = ids.flatMap((id) => {
      const record = this.#store.get(id);
      return record === undefined ? [] : [{ event: { type: 'record', record } as const }];
    });
    if (end < cycle.ids.length) {
      return { entries };
    }
    this.#cycle = undefined;
    return { entries, dropBefore: cycle.start };
  }

  #startIfDue(batch: number): void {
    const limit = COMPACT_MIN_EVENTS + COMPACT_EVENTS_PER_TASK * this.#store.size;
    if (this.#cycle === undefined && this.#events > limit) {
      this.#cycle = { start: batch, ids: this.#store.ids(), next: 0 };
      this.#events = 0;
    }
  }
}
