import type { Clock, Millis } from '@turmerichoist/core';
import { sleep, type Logger } from '@turmerichoist/runtime';
import type { ChangeFeed, RowChange, RowVersion } from '../store/index.js';

/** Pause after a failed read, so that a store that is down is not pressed. */
const RETRY_MS: Millis = 150;

export interface TableWatchOptions {
  readonly feed: ChangeFeed;
  readonly table: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Longest wait of one call for a change. */
  readonly waitMs: Millis;
  /** Pause between two calls, which gathers changes into fewer calls. */
  readonly pauseMs: Millis;
  /**
   * Receives changes in order. A snapshot replaces everything before it; it comes first, and again
   * whenever the history that was needed is gone. `sentAt`: own clock when it was asked for.
   */
  readonly onChanges: (rows: readonly RowChange[], snapshot: boolean, sentAt: Millis) => void;
  readonly signal: AbortSignal;
}

/** Follows one table from a snapshot on until the signal fires. */
export async function watchTable(options: TableWatchOptions): Promise<void> {
  const { signal, log, table } = options;
  let position: RowVersion | undefined;
  let lost = false;
  while (!signal.aborted) {
    const sentAt = options.clock.now();
    // While a service fails, its client lets one call through at a time; a call that waits for a
    // change would keep all others out for as long as it waits.
    const waitMs = lost ? 0 : options.waitMs;
    const next = await (position === undefined
      ? readSnapshot(options, sentAt)
      : readChanges(options, position, waitMs, sentAt));
    if (next === 'unavailable') {
      if (!lost && !options.signal.aborted) {
        log.warn('table not readable', { table, position });
      }
      lost = true;
      await sleep(RETRY_MS, signal);
      continue;
    }
    if (lost) {
      log.info('table readable again', { table, position });
    }
    lost = false;
    position = next === 'gone' ? undefined : next;
    if (next === 'gone') {
      log.info('history dropped, taking a snapshot', { table });
    } else if (options.pauseMs > 0) {
      await sleep(options.pauseMs, signal);
    }
  }
}

type Next = RowVersion | 'gone' | 'unavailable';

async function readSnapshot(options: TableWatchOptions, sentAt: Millis): Promise<Next> {
  const read = await options.feed.snapshot(options.table, options.signal);
  if (read.isErr()) {
    return 'unavailable';
  }
  options.onChanges(read.value.rows, true, sentAt);
  return read.value.position;
}

async function readChanges(
  options: TableWatchOptions,
  position: RowVersion,
  waitMs: Millis,
  sentAt: Millis,
): Promise<Next> {
  const { feed, table, signal } = options;
  const read = await feed.changes(table, position, waitMs, signal);
  if (read.isErr()) {
    return read.error.kind === 'revision-gone' ? 'gone' : 'unavailable';
  }
  if (read.value.rows.length > 0) {
    options.onChanges(read.value.rows, false, sentAt);
  }
  return read.value.position;
}
