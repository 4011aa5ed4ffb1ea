import { NEVER, type Millis, type Random } from '@turmerichoist/core';
import { GRANT_ROUND_MS, MAX_BACKOFF_MS } from './constants.js';

/** Decides when the next round of reads and transactions may start. */
export class RoundSchedule {
  readonly #random: Random;
  #nextAt: Millis = NEVER;
  #failures = 0;

  constructor(random: Random) {
    this.#random = random;
  }

  isDue(now: Millis): boolean {
    return now >= this.#nextAt;
  }

  onStarted(now: Millis): void {
    this.#nextAt = now + GRANT_ROUND_MS;
  }

  onRead(): void {
    this.#failures = 0;
  }

  /** Delays the next round by a random time that grows with the number of failures in a row. */
  onFailed(now: Millis): void {
    this.#failures += 1;
    const longest = Math.min(MAX_BACKOFF_MS, GRANT_ROUND_MS * 2 ** this.#failures);
    this.#nextAt = now + longest * (0.5 + this.#random.next() / 2);
  }
}
