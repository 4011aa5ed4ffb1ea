import type { Millis, Random } from '@turmerichoist/core';

export interface CallLimiterSettings {
  /** Sustained rate of calls per second. */
  readonly budgetPerS: number;
  /** Calls that may start at once after an idle period. */
  readonly burst: number;
  /** Calls that would have to wait longer than this are refused. */
  readonly maxWaitMs: Millis;
  /** Upper bound of the first backoff; doubles with each failure. */
  readonly backoffBaseMs: Millis;
  /** Upper bound of any backoff. */
  readonly backoffCapMs: Millis;
}

export type CallAdmission =
  | { readonly type: 'go'; readonly delayMs: Millis }
  | { readonly type: 'refuse'; readonly retryAfterMs: Millis };

const MS_PER_S = 1_000;

/**
 * Rate limiter and circuit breaker for calls to a service: a rate budget while it works, backoff
 * with full jitter while it fails. While it fails, calls are refused at once, except for one probe
 * at a time after each backoff, so that no calls queue up and overload the service when it
 * recovers.
 */
export class CallLimiter {
  readonly #settings: CallLimiterSettings;
  readonly #random: Random;
  /** Time at which the budget is full again. */
  #budgetFullAt: Millis = 0;
  #failures = 0;
  #failedAt: Millis = -Infinity;
  #closedUntil: Millis = -Infinity;
  /** Time at which the probe under way was admitted; undefined without one. */
  #probingSince: Millis | undefined;

  constructor(settings: CallLimiterSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
  }

  /** Whether the last call that was answered or has failed is a failure. */
  get failing(): boolean {
    return this.#failures > 0;
  }

  /**
   * Decides whether and when a call may start. The end of each admitted call must be reported. A
   * probe that has been under way for `maxProbeMs` does not keep another one from being sent.
   */
  admit(now: Millis, maxProbeMs: Millis = Infinity): CallAdmission {
    if (this.#failures > 0) {
      return this.#admitProbe(now, maxProbeMs);
    }
    const { budgetPerS, burst, maxWaitMs } = this.#settings;
    const intervalMs = MS_PER_S / budgetPerS;
    const fullAt = Math.max(this.#budgetFullAt, now) + intervalMs;
    const delayMs = Math.max(0, fullAt - now - burst * intervalMs);
    if (delayMs > maxWaitMs) {
      return { type: 'refuse', retryAfterMs: delayMs };
    }
    this.#budgetFullAt = fullAt;
    return { type: 'go', delayMs };
  }

  /** Records that the service answered an admitted call. */
  succeeded(): void {
    this.#failures = 0;
    this.#probingSince = undefined;
  }

  /**
   * Records that an admitted call, started at `startedAt`, failed or was rate limited by the
   * service.
   */
  failed(startedAt: Millis, now: Millis): void {
    this.#probingSince = undefined;
    if (startedAt < this.#failedAt) {
      // Concurrent calls fail together; they count as one failure.
      return;
    }
    const { backoffBaseMs, backoffCapMs } = this.#settings;
    const bound = Math.min(backoffCapMs, backoffBaseMs * 2 ** this.#failures);
    this.#failures += 1;
    this.#failedAt = now;
    this.#closedUntil = now + this.#random.next() * bound;
  }

  /** Records that the caller cancelled an admitted call, which says nothing about the service. */
  abandoned(): void {
    this.#probingSince = undefined;
  }

  #admitProbe(now: Millis, maxProbeMs: Millis): CallAdmission {
    const waitMs = this.#closedUntil - now;
    const probing = now - (this.#probingSince ?? -Infinity) < maxProbeMs;
    if (probing || waitMs > 0) {
      return { type: 'refuse', retryAfterMs: Math.max(waitMs, this.#settings.backoffBaseMs) };
    }
    this.#probingSince = now;
    return { type: 'go', delayMs: 0 };
  }
}
