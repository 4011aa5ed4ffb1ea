import type { Millis } from '../types/index.js';
import type { ClockAnchor } from './worker-table.js';

/** Time that a lease runs from its receipt by the worker, unless renewed. */
export const LEASE_TTL_MS = 10_000;
/** Period of the renewals, so that three may be lost before a lease lapses. */
export const RENEW_MS = 3_000;
/** Time for which an order may be on its way before its worker ignores it. */
export const SEND_WINDOW_MS = 2_000;
/** Age of a report up to which orders are still timed by it. */
export const REPORT_MAX_AGE_MS = 10_000;
/** Largest relative difference between two clocks, as for sessions. */
const CLOCK_DRIFT_RATIO = 0.01;
/** Added to every estimated end, for rounding and for the time a worker takes to end a task. */
const END_MARGIN_MS = 500;

/** Reading of the worker's clock after which it ignores an order sent now. */
export function validBefore(anchor: ClockAnchor, now: Millis): Millis {
  return anchor.clockMs + (now - anchor.receivedAt) + SEND_WINDOW_MS;
}

/**
 * Our clock by which a lease has surely ended. The worker's clock read `clockMs` before `receivedAt`,
 * so it has passed the end of the lease once we have waited for the rest at the slowest rate.
 */
export function sureEndOf(anchor: ClockAnchor, validBeforeMs: Millis, ttlMs: Millis): Millis {
  const rest = validBeforeMs + ttlMs - anchor.clockMs;
  return anchor.receivedAt + rest / (1 - CLOCK_DRIFT_RATIO) + END_MARGIN_MS;
}

/** The same for a lease of a former owner, which sent nothing after we became the owner. */
export function sureEndOfFormer(gainedAt: Millis, ttlMs: Millis): Millis {
  return gainedAt + (SEND_WINDOW_MS + ttlMs) / (1 - CLOCK_DRIFT_RATIO) + END_MARGIN_MS;
}
