import type { Millis } from '@turmerichoist/core';

export const DEMAND_PUBLISH_MS: Millis = 500;
export const UNMET_DEMAND_PUBLISH_MS: Millis = 250;
/** A third of the 3 s after which receivers drop demand rows that have not been published again. */
const MAX_PERIOD_MS: Millis = 1_000;
const ROWS_IN_SMALL_VIEWS = 100;
const SMALL_VIEW = 2;

/** Candidate: the period grows with the number of members, up to `MAX_PERIOD_MS`. */
export function publishPeriodMs(members: number): Millis {
  return Math.min(MAX_PERIOD_MS, DEMAND_PUBLISH_MS * Math.max(1, members / 4));
}

/** Candidate: only the rows with the most waiting work are sent, fewer in larger views. */
export function rowsPerMessage(members: number): number {
  return Math.max(1, Math.floor((ROWS_IN_SMALL_VIEWS * SMALL_VIEW) / (members * members)));
}
