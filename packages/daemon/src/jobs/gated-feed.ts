import { fail, type AppError, type Millis, type Result } from '@turmerichoist/core';
import type {
  ChangeFeed,
  RowVersion,
  TableChanges,
  TableSnapshot,
} from '@turmerichoist/coordination';

/** A feed whose snapshots are read at once, but not returned before something else is ready. */
export class GatedFeed implements ChangeFeed {
  readonly #feed: ChangeFeed;
  readonly #ready: Promise<void>;

  constructor(feed: ChangeFeed, ready: Promise<void>) {
    this.#feed = feed;
    this.#ready = ready;
  }

  async snapshot(table: string, signal: AbortSignal): Promise<Result<TableSnapshot, AppError>> {
    const read = await this.#feed.snapshot(table, signal);
    await this.#ready;
    return signal.aborted ? fail('store-unavailable', 'given up') : read;
  }

  changes(
    table: string,
    position: RowVersion,
    waitMs: Millis,
    signal: AbortSignal,
  ): Promise<Result<TableChanges, AppError>> {
    return this.#feed.changes(table, position, waitMs, signal);
  }
}
