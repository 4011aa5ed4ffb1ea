import type { Millis } from '@turmerichoist/core';

/** Share of the longest time that a caller gives a call above which it counts as a first try. */
const FIRST_TRY_SHARE = 0.99;
/** Part of the longest time that is kept with each call, so that one odd caller does not set it for good. */
const LONGEST_KEPT = 0.999;
/** Another member can probably serve the caller at once. */
const RETRY_ELSEWHERE_MS: Millis = 0;
/** Members that the caller tried before could not serve it either, so the store is away for many. */
const RETRY_LATER_MS: Millis = 1_000;

/**
 * Advises callers of one kind of call that a member turns away because the store doesn't answer it. The first try is
 * sent elsewhere at once. A caller that has used part of its time has been turned away before;
 * if it kept trying at once, its tries would be used up before the store is back.
 */
export class RetryAdvice {
  #longestMs: Millis = 0;

  /** Records the time that a caller gives a call. */
  observe(timeoutMs: Millis): void {
    this.#longestMs = Math.max(this.#longestMs * LONGEST_KEPT, timeoutMs);
  }

  /** Whether a caller that has `timeoutMs` left can't have called another member before. */
  isFirstTry(timeoutMs: Millis): boolean {
    return timeoutMs >= FIRST_TRY_SHARE * this.#longestMs;
  }

  /** Time after which a caller that has `timeoutMs` left is to call another member. */
  retryAfterMs(timeoutMs: Millis): Millis {
    return this.isFirstTry(timeoutMs) ? RETRY_ELSEWHERE_MS : RETRY_LATER_MS;
  }
}
