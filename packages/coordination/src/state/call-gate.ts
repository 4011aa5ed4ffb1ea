import type { Millis, Random } from '@turmerichoist/core';

export interface CallGateSettings {
  /** Calls that may start per second on average. */
  readonly budgetPerS: number;
  /** Calls that may start at once after a quiet time. */
  readonly burst: number;
  /** Longest time that a call waits for its turn before it is refused. */
  readonly maxWaitMs: Millis;
  /** Upper bound of the first back-off; it doubles with each failure. */
  readonly backoffBaseMs: Millis;
  /** Upper bound of every back-off. */
  readonly backoffCapMs: Millis;
}

export type Admission =
  | { readonly type: 'go'; readonly delayMs: Millis }
  | { readonly type: 'refuse'; readonly retryAfterMs: Millis };

const MS_PER_S = 1_000;

/**
 * Decides when calls to a service may start: a rate budget while it works, back-off with full
 * jitter while it fails. During back-off one call at a time probes the service and the others are
 * refused at once, so no calls pile up that would hit the service together when it returns.
 */
export class CallGate {
  readonly #settings: CallGateSettings;
  readonly #random: Random;
  /** Time at which the budget is full again. */
  #fullAt: Millis = 0;
  #failures = 0;
  #failedAt: Millis = -Infinity;
  #closedUntil: Millis = -Infinity;
  #probing = false;

  constructor(settings: CallGateSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
  }

  /** Whether a call may start, and after which delay. Each admitted call must report its end. */
  admit(now: Millis): Admission {
    if (this.#failures > 0) {
      return this.#admitProbe(now);
    }
    const { budgetPerS, burst, maxWaitMs } = this.#settings;
    const intervalMs = MS_PER_S / budgetPerS;
    const fullAt = Math.max(this.#fullAt, now) + intervalMs;
    const delayMs = Math.max(0, fullAt - now - burst * intervalMs);
    if (delayMs > maxWaitMs) {
      return { type: 'refuse', retryAfterMs: delayMs };
    }
    this.#fullAt = fullAt;
    return { type: 'go', delayMs };
  }

  /** An admitted call was answered by the service. */
  succeeded(): void {
    this.#failures = 0;
    this.#probing = false;
  }

  /** An admitted call that started at `startedAt` failed, or was refused for its rate. */
  failed(startedAt: Millis, now: Millis): void {
    this.#probing = false;
    if (startedAt < this.#failedAt) {
      // Calls that ran side by side fail together; they count as one failure.
      return;
    }
    const { backoffBaseMs, backoffCapMs } = this.#settings;
    const bound = Math.min(backoffCapMs, backoffBaseMs * 2 ** this.#failures);
    this.#failures += 1;
    this.#failedAt = now;
    this.#closedUntil = now + this.#random.next() * bound;
  }

  /** An admitted call was given up by its caller; it says nothing about the service. */
  abandoned(): void {
    this.#probing = false;
  }

  #admitProbe(now: Millis): Admission {
    const waitMs = this.#closedUntil - now;
    if (this.#probing || waitMs > 0) {
      return { type: 'refuse', retryAfterMs: Math.max(waitMs, this.#settings.backoffBaseMs) };
    }
    this.#probing = true;
    return { type: 'go', delayMs: 0 };
  }
}
