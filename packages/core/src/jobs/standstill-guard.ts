import type { Millis } from '../types/index.js';

/** A longer time between two ticks shows that the process stood still. */
const MAX_TICK_GAP_MS: Millis = 1_000;
/** Covers answers and time-outs of looks that were on their way when the process stood still. */
const SETTLING_MS: Millis = 2_000;

/**
 * Tells when ends of leases may be acted on. After a standstill of the process, looks that have
 * extended leases may not have been heard of yet.
 */
export class StandstillGuard {
  #tickedAt: Millis | undefined;
  #settledAt: Millis = -Infinity;

  /** Called with each tick; returns whether all that was on its way is known. */
  tick(now: Millis): boolean {
    if (now - (this.#tickedAt ?? now) > MAX_TICK_GAP_MS) {
      this.#settledAt = now + SETTLING_MS;
    }
    this.#tickedAt = now;
    return now >= this.#settledAt;
  }
}
