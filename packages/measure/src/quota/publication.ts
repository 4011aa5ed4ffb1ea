import type { Millis } from '@turmerichoist/core';

export const SHARE_PUBLISH_MS: Millis = 500;
export const WANT_PUBLISH_MS: Millis = 250;
/** Rows of an older publication are dropped, so that no period may be longer than a third of it. */
const LONGEST_PERIOD_MS: Millis = 1_000;
const ROWS_IN_SMALL_VIEWS = 100;
const SMALL_VIEW = 2;

/** Candidate: the period grows with the view, up to a third of `SHARE_STALE_MS`. */
export function publishPeriodMs(members: number): Millis {
  return Math.min(LONGEST_PERIOD_MS, SHARE_PUBLISH_MS * Math.max(1, members / 4));
}

/** Candidate: only the rows with the most waiting work, fewer in larger views. */
export function rowsPerMessage(members: number): number {
  return Math.max(1, Math.floor((ROWS_IN_SMALL_VIEWS * SMALL_VIEW) / (members * members)));
}
