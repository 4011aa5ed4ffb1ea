import type { Millis, Random } from '@turmerichoist/core';
import { CallLimiter, type CallAdmission, type CallLimiterSettings } from './call-limiter.js';

/**
 * Time after which the probe of one part does not hold back the calls of others any more: the part
 * may be away alone. A service that works answers within a tenth of it.
 */
const MAX_PROBE_MS: Millis = 300;

/** What the limiter must know of a call. */
export interface LimitedCall {
  /** Part of the service whose own limit the call is subject to. */
  readonly part?: string;
  /** Time for which the service may wait before it answers (long polling). */
  readonly waitMs?: Millis;
}

/**
 * Limiter of calls to a service of which each part has a limit of its own. A call that was rate
 * limited backs off calls to the same part only, since it is no sign that the service fails. So does
 * a failure if another call was answered meanwhile; otherwise it backs off all calls. A call without
 * a part counts against the service alone.
 */
export class PartedLimiter {
  readonly #settings: CallLimiterSettings;
  readonly #random: Random;
  readonly #service: CallLimiter;
  readonly #parts = new Map<string, CallLimiter>();
  /** Time at which the last answer came. */
  #answeredAt: Millis = -Infinity;

  constructor(settings: CallLimiterSettings, random: Random) {
    this.#settings = settings;
    this.#random = random;
    this.#service = new CallLimiter(settings, random);
  }

  /**
   * Decides whether and when a call may start. The end of each admitted call must be reported. While
   * the service fails, calls that wait are refused: as a probe, such a call would tell of the
   * service only when its wait is over, and keep all others from being sent until then.
   */
  admit({ part, waitMs = 0 }: LimitedCall, now: Millis): CallAdmission {
    if (waitMs > 0 && this.#service.failing) {
      return { type: 'refuse', retryAfterMs: this.#settings.backoffBaseMs };
    }
    const limiter = this.#partLimiter(part);
    const admission = limiter?.admit(now);
    if (admission?.type === 'refuse') {
      return admission;
    }
    const ofService = this.#service.admit(now, limiter && MAX_PROBE_MS);
    if (ofService.type === 'refuse') {
      limiter?.abandoned();
    }
    return ofService;
  }

  /** Records that the service answered an admitted call. */
  succeeded(part: string | undefined, now: Millis): void {
    this.#answeredAt = now;
    this.#service.succeeded();
    this.#partLimiter(part)?.succeeded();
  }

  /** Records that the service rate limited an admitted call, started at `startedAt`. */
  rateLimited(part: string | undefined, startedAt: Millis, now: Millis): void {
    const limiter = this.#partLimiter(part);
    if (limiter === undefined) {
      this.#service.failed(startedAt, now);
      return;
    }
    this.#answeredAt = now;
    this.#service.succeeded();
    limiter.failed(startedAt, now);
  }

  /** Records that an admitted call, started at `startedAt`, failed. */
  failed(part: string | undefined, startedAt: Millis, now: Millis): void {
    const limiter = this.#partLimiter(part);
    limiter?.failed(startedAt, now);
    if (limiter === undefined || this.#answeredAt < startedAt) {
      this.#service.failed(startedAt, now);
    }
  }

  /** Records that the caller cancelled an admitted call, which says nothing about the service. */
  abandoned(part: string | undefined): void {
    this.#service.abandoned();
    this.#partLimiter(part)?.abandoned();
  }

  /** Forgets all failures, which no longer tell how the next call will end. */
  forgetFailures(): void {
    this.#service.succeeded();
    this.#parts.clear();
  }

  #partLimiter(part: string | undefined): CallLimiter | undefined {
    if (part === undefined) {
      return undefined;
    }
    // The rate budget is that of the service.
    const limiter =
      this.#parts.get(part) ??
      new CallLimiter({ ...this.#settings, budgetPerS: Infinity }, this.#random);
    this.#parts.set(part, limiter);
    return limiter;
  }
}
