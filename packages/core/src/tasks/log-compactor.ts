import type { TaskId } from '../types/index.js';
import type { FillResult } from './append-queue.js';
import type { TaskStore } from './task-store.js';

/** Events that the log may hold beyond two for each task before a compaction starts. */
const COMPACT_MIN_EVENTS = 2_000;
const COMPACT_EVENTS_PER_TASK = 2;
/** Records repeated in one batch, so that a compaction does not delay other events. */
const RECORDS_PER_BATCH = 50;

/**
 * Bounds the replay of the log. A compaction repeats the record of every task, a few with each batch;
 * when it is through, rows from before its start are dropped. Events between the start and the
 * repeated record of a task change nothing on replay, as that record replaces them.
 */
export class LogCompactor {
  readonly #store: TaskStore;
  #events = 0;
  #cycle: { readonly start: number; readonly ids: readonly TaskId[]; next: number } | undefined;

  constructor(store: TaskStore, replayed: number) {
    this.#store = store;
    this.#events = replayed;
  }

  count(events: number): void {
    this.#events += events;
  }

  /** Records to append with batch `batch`. */
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
