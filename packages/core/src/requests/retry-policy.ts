import type { Millis } from '../types/index.js';
import type { AttemptResult } from './messages.js';
import { SlidingWindowCounter } from './sliding-window-counter.js';

/** Retry budget for requests that may have run, as a fraction of recent requests. */
const RETRY_RATIO = 0.1;
/** Minimum retry budget per second, regardless of the number of requests. */
const MIN_RETRIES_PER_S = 3;

/** An attempt that ended without a response. */
export interface FailedAttempt {
  readonly idempotent: boolean;
  readonly result: AttemptResult['type'];
  readonly deadline: Millis;
}

/** Whether the request certainly did not run in this attempt. */
export function didNotRun(result: AttemptResult['type']): boolean {
  return result === 'not-sent' || result === 'refused';
}

/** Decides which requests may be retried, within a budget proportional to recent requests. */
export class RetryPolicy {
  readonly #requests = new SlidingWindowCounter();
  readonly #retries = new SlidingWindowCounter();

  /** Records an accepted request, which adds to the retry budget. */
  recordRequest(now: Millis): void {
    this.#requests.add(now);
  }

  /**
   * Whether the request may be retried, charging the budget if so. Attempts that did not run are
   * not charged, since the backoff of the executor limits them.
   */
  allows(attempt: FailedAttempt, now: Millis): boolean {
    if (now >= attempt.deadline) {
      return false;
    }
    if (didNotRun(attempt.result)) {
      return true;
    }
    // The network path failed, not the executor, so a retry adds no load to an overloaded executor.
    if (attempt.result === 'silent') {
      return attempt.idempotent;
    }
    return attempt.idempotent && this.#takeFromBudget(now);
  }

  #takeFromBudget(now: Millis): boolean {
    const budget = Math.max(MIN_RETRIES_PER_S, RETRY_RATIO * this.#requests.total(now));
    if (this.#retries.total(now) + 1 > budget) {
      return false;
    }
    this.#retries.add(now);
    return true;
  }
}
