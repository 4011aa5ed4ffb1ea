import type { Millis } from '../types/index.js';
import type { AttemptResult } from './messages.js';
import { RecentCount } from './recent-count.js';

/** Retries of work that may have run are limited to this part of recent requests. */
export const RETRY_RATIO = 0.1;
/** Retries per second that are allowed even when there are few requests. */
export const MIN_RETRIES_PER_S = 3;

/** An attempt that ended without an answer. */
export interface EndedAttempt {
  readonly idempotent: boolean;
  readonly result: AttemptResult['type'];
  readonly deadline: Millis;
}

/** Whether the attempt provably did not run. */
export function didNotRun(result: AttemptResult['type']): boolean {
  return result === 'not-sent' || result === 'refused';
}

/** Decides whether another attempt may follow. */
export class RetryPolicy {
  readonly #requests = new RecentCount();
  readonly #retries = new RecentCount();

  /** Counts an accepted request, which adds to the retry budget. */
  accepted(now: Millis): void {
    this.#requests.add(now);
  }

  /**
   * Whether another attempt may follow. Attempts that did not run are not charged to the budget:
   * the backoff of the executor limits them.
   */
  allows(ended: EndedAttempt, now: Millis): boolean {
    if (now >= ended.deadline) {
      return false;
    }
    if (didNotRun(ended.result)) {
      return true;
    }
    // The path failed, not the executor, so the repeat adds no load to one that is overloaded.
    if (ended.result === 'silent') {
      return ended.idempotent;
    }
    return ended.idempotent && this.#takeFromBudget(now);
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
