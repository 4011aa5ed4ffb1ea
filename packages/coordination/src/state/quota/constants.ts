import { MAX_WORK_MS, type Millis } from '@turmerichoist/core';

/** Minimum interval between two grant rounds of one member. */
export const GRANT_ROUND_MS: Millis = 250;
/** Units that were not needed for this time are returned. */
export const GRANT_IDLE_MS: Millis = 2_000;
/** Largest relative difference assumed between the rates of two members' clocks. */
export const CLOCK_DRIFT_RATIO = 0.01;
/** Work that starts just before a session expires has ended by this time after the expiry. */
export const RECLAIM_AFTER_MS: Millis = MAX_WORK_MS * (1 + CLOCK_DRIFT_RATIO);
/** A session without a member row is expired after this time: 8,000 ms, drift, 1,000 ms. */
export const ABSENT_EXPIRY_MS: Millis = 8_000 * (1 + CLOCK_DRIFT_RATIO) + 1_000;
/** Unmet demand of another member is ignored if it was not repeated for this time. */
export const UNMET_DEMAND_STALE_MS: Millis = 3_000;
/** Interval at which unchanged unmet demand is published again. */
export const UNMET_DEMAND_REPEAT_MS: Millis = 1_000;
/**
 * Teams in one transaction. A row with 64 holders takes about 5 KB, so a transaction takes up to
 * 640 KB.
 */
export const MAX_TEAMS_PER_TXN = 128;
/** Number of rounds after a conflict in which a team gets a separate transaction. */
export const ISOLATED_ROUNDS = 4;
/** Maximum backoff after store failures. */
export const MAX_BACKOFF_MS: Millis = 4_000;
/** Reads of the member rows further apart than this restart the observation of absent rows. */
export const MAX_MEMBER_READ_GAP_MS: Millis = 2_000;
