import {
  fail,
  Ok,
  type AppError,
  type PoolName,
  type Result,
  type TaskLogEvent,
} from '@turmerichoist/core';
import type { Condition, JsonValue, TableStore, Write } from '@turmerichoist/coordination';

/** Maximum number of rows that one call reads. */
const READ_PAGE_SIZE = 200;
const BATCH_DIGITS = 12;

/** One batch of events, and the range of older batches that it makes obsolete. */
export interface LogBatch {
  readonly batch: number;
  readonly events: readonly TaskLogEvent[];
  /** Batches before this number are deleted in the same transaction. */
  readonly dropBefore?: number;
}

export interface StoredLog {
  readonly events: readonly TaskLogEvent[];
  readonly nextBatch: number;
}

/** Reads and writes the task log of one pool. */
export class TaskLog {
  readonly #store: TableStore;
  readonly #prefix: string;
  #oldest = 0;

  constructor(store: TableStore, pool: PoolName) {
    this.#store = store;
    this.#prefix = `task-log/${pool}/`;
  }

  /** Reads the whole log. Errors: those of the table service. */
  async read(signal: AbortSignal): Promise<Result<StoredLog, AppError>> {
    const events: TaskLogEvent[] = [];
    let after = '';
    let nextBatch = 0;
    for (;;) {
      const rows = await this.#store.range(this.#prefix, after, READ_PAGE_SIZE, signal);
      if (rows.isErr()) {
        return rows;
      }
      for (const row of rows.value) {
        events.push(...(row.value as unknown as readonly TaskLogEvent[]));
        const batch = Number(row.key.slice(this.#prefix.length));
        this.#oldest = nextBatch === 0 ? batch : this.#oldest;
        nextBatch = batch + 1;
        after = row.key;
      }
      if (rows.value.length < READ_PAGE_SIZE) {
        return Ok({ events, nextBatch: Math.max(nextBatch, 1) });
      }
    }
  }

  /**
   * Appends a batch, provided that the owner's row is unchanged. A batch that is already stored
   * under this number counts as appended, since only the owner of this epoch writes it. Errors:
   * `not-owner`, `outcome-unknown`, `store-unavailable`.
   */
  async append(
    { batch, events, dropBefore }: LogBatch,
    owner: Condition,
    signal: AbortSignal,
  ): Promise<Result<void, AppError>> {
    const key = this.#key(batch);
    const value = events as unknown as JsonValue;
    const txnId = `${key}@${owner.version}`;
    const conditions = [owner, { key, version: 0 }];
    const writes = [{ key, value }, ...this.#deletions(dropBefore)];
    const outcome = await this.#store.commit({ txnId, conditions, writes }, signal);
    if (outcome.isErr()) {
      return outcome;
    }
    if (outcome.value.committed) {
      this.#oldest = Math.max(this.#oldest, dropBefore ?? 0);
      return Ok(undefined);
    }
    return outcome.value.failed.includes(owner.key) ? fail('not-owner', owner.key) : Ok(undefined);
  }

  #deletions(before: number | undefined): readonly Write[] {
    const count = Math.max(0, (before ?? 0) - this.#oldest);
    return Array.from({ length: count }, (_, i) => ({
      key: this.#key(this.#oldest + i),
      value: null,
    }));
  }

  #key(batch: number): string {
    return `${this.#prefix}${String(batch).padStart(BATCH_DIGITS, '0')}`;
  }
}
