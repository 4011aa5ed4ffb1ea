import type { Millis } from '../types/index.js';

/** A longer gap between two ticks shows that the process was paused. */
const MAX_TICK_GAP_MS: Millis = 1_000;
/** Covers the answers and timeouts of polls that were in flight during the pause. */
const SETTLING_MS: Millis = 2_000;

/**
 * Tells whether expired leases may be acted on. After a pause of the process, polls that have
 * extended leases may not have been processed yet, so leases may seem expired that are not.
 */
export class ProcessPauseDetector {
  #lastTickAt: Millis | undefined;
  #settlesAt: Millis = -Infinity;

  /** Called on each tick. Returns whether the results of all earlier polls have been processed. */
  tick(now: Millis): boolean {
    if (now - (this.#lastTickAt ?? now) > MAX_TICK_GAP_MS) {
      this.#settlesAt = now + SETTLING_MS;
    }
    this.#lastTickAt = now;
    return now >= this.#settlesAt;
  }
}
