import { MAX_WORK_MS, type Millis } from '@turmerichoist/core';

/** Shortest time between two rounds of one entry. */
export const GRANT_ROUND_MS: Millis = 250;
/** Units that were not needed for this long are returned. */
export const GRANT_IDLE_MS: Millis = 2_000;
/** Largest difference between the rates of two members' clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Work that started at the very end of a session has ended this long after the session's expiry. */
export const RECLAIM_AFTER_MS: Millis = MAX_WORK_MS * (1 + CLOCK_DRIFT_RATIO);
/** Time without a member row after which that session counts as expired: 8,000 ms, drift, 1,000 ms. */
export const ABSENT_EXPIRY_MS: Millis = 8_000 * (1 + CLOCK_DRIFT_RATIO) + 1_000;
/** A want that was not repeated for this long counts no more. */
export const WANT_STALE_MS: Millis = 3_000;
/** Period at which an unchanged want is repeated. */
export const WANT_REPEAT_MS: Millis = 1_000;
/** Teams in one transaction: a row with 64 holders takes about 5 KB, so a transaction up to 640 KB. */
export const MAX_TEAMS_PER_TXN = 128;
/** Rounds after a conflict in which a team gets a transaction of its own. */
export const CONTENDED_ROUNDS = 4;
/** Longest pause after failures of the store. */
export const MAX_BACKOFF_MS: Millis = 4_000;
/** Time between two reads of the member rows after which observations start anew. */
export const MEMBERS_GAP_MS: Millis = 2_000;
