import type { Clock, JobEvent, Millis } from '@turmerichoist/core';
import { FEED_WAIT_MS, watchTable, type ChangeFeed } from '@turmerichoist/coordination';
import type { Logger, Recipient } from '@turmerichoist/runtime';

const PAUSE_MS: Millis = 4;

export interface CancellationWatchOptions {
  readonly intake: ChangeFeed;
  readonly clock: Clock;
  readonly log: Logger;
  readonly owner: Recipient<JobEvent>;
  readonly signal: AbortSignal;
}

/**
 * Follows the cancellations that members have stored. Resolves when those that are stored now have
 * been posted, or the signal is aborted.
 */
export function watchCancellations(options: CancellationWatchOptions): Promise<void> {
  const { intake, clock, log, owner, signal } = options;
  return new Promise((resolve) => {
    void watchTable({
      feed: intake,
      table: 'cancels',
      clock,
      log,
      waitMs: FEED_WAIT_MS,
      pauseMs: PAUSE_MS,
      onChanges: (changes) => {
        const ids = changes.map(({ key }) => key.slice(key.indexOf('/') + 1));
        owner.post({ type: 'cancelled', ids });
        resolve();
      },
      signal,
    }).then(resolve);
  });
}
