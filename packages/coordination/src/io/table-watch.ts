import type { AppError, Clock, Millis } from '@turmerichoist/core';
import { sleep, type Logger } from '@turmerichoist/runtime';
import type { ChangeFeed, RowChange, RowVersion } from '../store/index.js';

/** Delay after a failed read, so that a store that is down is not overloaded with retries. */
const RETRY_INTERVAL_MS: Millis = 150;
/**
 * Wait of calls for changes that must be known within seconds. A call into a silence is noticed only
 * when it times out. Even one that was sent just before the silence ended must be given up and sent
 * again within the 3 s after which a member counts as in touch; a wait of 2.5 s took 3.7 s.
 */
export const FEED_WAIT_MS: Millis = 1_000;

export interface TableWatchOptions {
  readonly feed: ChangeFeed;
  readonly table: string;
  readonly clock: Clock;
  readonly log: Logger;
  /** Maximum time that one call waits for a change (long polling). */
  readonly waitMs: Millis;
  /** Delay between two calls, which batches changes into fewer calls. */
  readonly pauseMs: Millis;
  /**
   * Receives changes in order. A snapshot replaces all earlier state. The first call is a snapshot,
   * and there is another whenever the changes since the current position are no longer retained.
   * Changes for which it throws are logged and not passed on again, as it would throw again.
   * `sentAt`: monotonic time at which the read was sent.
   */
  readonly onChanges: (rows: readonly RowChange[], snapshot: boolean, sentAt: Millis) => void;
  /**
   * Called after each successful read, also an empty one, once its changes have been passed on.
   * All changes that took effect before `sentAt` have then been passed on.
   */
  readonly onRead?: (sentAt: Millis) => void;
  readonly signal: AbortSignal;
}

/** Reads a snapshot of one table and then follows its changes until the signal is aborted. */
export async function watchTable(options: TableWatchOptions): Promise<void> {
  const { signal, log, table } = options;
  let position: RowVersion | undefined;
  /** Time at which the first read was sent that failed after the last one that succeeded. */
  let failingSince: Millis | undefined;
  /** Whether the last read that succeeded was a snapshot. */
  let afterSnapshot = false;
  while (!signal.aborted) {
    const sentAt = options.clock.now();
    // After a failure the client admits only one probe at a time. A probe that waits for a change
    // would block all other calls for as long as it waits.
    const waitMs = failingSince === undefined ? options.waitMs : 0;
    const outcome = await (position === undefined
      ? readSnapshot(options, sentAt)
      : readChanges(options, position, waitMs, sentAt));
    if (typeof outcome === 'object') {
      if (failingSince === undefined && !options.signal.aborted) {
        const sentForMs = elapsedMs(options, sentAt);
        log.warn('table not readable', { table, position, sentForMs, error: outcome.detail });
      }
      failingSince ??= sentAt;
      await sleep(RETRY_INTERVAL_MS, signal);
      continue;
    }
    if (failingSince !== undefined) {
      const unreadForMs = elapsedMs(options, failingSince);
      log.info('table readable again', { table, position, unreadForMs });
    }
    failingSince = undefined;
    const snapshot = position === undefined;
    position = outcome === 'gone' ? undefined : outcome;
    if (outcome === 'gone') {
      log.info('changes no longer retained, reading a snapshot', { table });
      // The history is shorter than a snapshot takes: reading the whole table on end would load the
      // store further.
      await sleep(afterSnapshot ? RETRY_INTERVAL_MS : 0, signal);
    } else if (options.pauseMs > 0) {
      await sleep(options.pauseMs, signal);
    }
    afterSnapshot = snapshot;
  }
}

/** New position, that the changes are no longer retained, or why the table is not readable. */
type ReadOutcome = RowVersion | 'gone' | AppError;

function elapsedMs({ clock }: TableWatchOptions, since: Millis): Millis {
  return Math.round(clock.now() - since);
}

async function readSnapshot(options: TableWatchOptions, sentAt: Millis): Promise<ReadOutcome> {
  const read = await options.feed.snapshot(options.table, options.signal);
  if (read.isErr()) {
    return read.error;
  }
  passOn(options, read.value.rows, true, sentAt);
  options.onRead?.(sentAt);
  return read.value.position;
}

async function readChanges(
  options: TableWatchOptions,
  position: RowVersion,
  waitMs: Millis,
  sentAt: Millis,
): Promise<ReadOutcome> {
  const { feed, table, signal } = options;
  const read = await feed.changes(table, position, waitMs, signal);
  if (read.isErr()) {
    return read.error.kind === 'revision-gone' ? 'gone' : read.error;
  }
  if (read.value.rows.length > 0) {
    passOn(options, read.value.rows, false, sentAt);
  }
  options.onRead?.(sentAt);
  return read.value.position;
}

/** Other programs write to some tables; what they write must not end the process. */
function passOn(
  { table, log, onChanges }: TableWatchOptions,
  rows: readonly RowChange[],
  snapshot: boolean,
  sentAt: Millis,
): void {
  try {
    onChanges(rows, snapshot, sentAt);
  } catch (err) {
    log.error('changes not handled', { table, rows: rows.length, snapshot, err: String(err) });
  }
}
