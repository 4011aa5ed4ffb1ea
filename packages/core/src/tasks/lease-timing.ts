import type { Millis } from '../types/index.js';
import type { ClockAnchor } from './worker-view.js';

/** Duration of a lease, from its receipt by the worker, unless renewed. */
export const LEASE_TTL_MS = 10_000;
/** Interval between renewals. Up to three in a row may be lost before a lease expires. */
export const RENEW_INTERVAL_MS = 3_000;
/** Maximum transit time of an order; the worker ignores it afterwards. */
export const SEND_WINDOW_MS = 2_000;
/** Maximum age of a report whose clock reading may be used to time orders. */
export const REPORT_MAX_AGE_MS = 10_000;
/** Maximum relative difference in rate between two clocks, as for sessions. */
const CLOCK_DRIFT_RATIO = 0.01;
/** Margin on every expiry, for rounding and for the time a worker takes to end a task. */
const EXPIRY_MARGIN_MS = 500;

/** Returns the reading of the worker's clock after which it ignores an order sent now. */
export function orderDeadline(anchor: ClockAnchor, now: Millis): Millis {
  return anchor.clockMs + (now - anchor.receivedAt) + SEND_WINDOW_MS;
}

/**
 * Returns the reading of the owner's clock by which a lease has expired. The worker's clock read
 * `clockMs` before `receivedAt`, so the lease has ended once the remaining time has passed on a
 * clock that runs at the slowest permitted rate.
 */
export function latestExpiryOf(anchor: ClockAnchor, validBeforeMs: Millis, ttlMs: Millis): Millis {
  const remainingMs = validBeforeMs + ttlMs - anchor.clockMs;
  return anchor.receivedAt + remainingMs / (1 - CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MS;
}

/** As `latestExpiryOf`, for a lease of a former owner, which sent nothing after `gainedAt`. */
export function latestExpiryOfFormer(gainedAt: Millis, ttlMs: Millis): Millis {
  return gainedAt + (SEND_WINDOW_MS + ttlMs) / (1 - CLOCK_DRIFT_RATIO) + EXPIRY_MARGIN_MS;
}
