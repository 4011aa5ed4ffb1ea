import type { Millis } from '../types/index.js';

const NEWEST_WEIGHT = 0.05;
/** Fewer samples give no estimate: a wrong one would refuse work that could run. */
const MIN_SAMPLES = 20;
/** The peak of running work is that of the current and the previous period of this length. */
const PEAK_PERIOD_MS = 1_000;

/**
 * Measures the service rate of a queue as running work over mean duration. The peak of running work
 * counts, since a short pause of the executors must not make waits look unreachable.
 */
export class ServiceMeter {
  #samples = 0;
  #meanMs: Millis = 0;
  #deviationMs: Millis = 0;
  #period = Number.NEGATIVE_INFINITY;
  #peak = 0;
  #lastPeak = 0;

  /** Duration that most attempts do not exceed: the mean plus twice the mean deviation. 0 if unmeasured. */
  get typicalMs(): Millis {
    return this.#meanMs + 2 * this.#deviationMs;
  }

  /** Records the duration of an attempt that ended with an answer. */
  served(durationMs: Millis): void {
    this.#samples += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.#samples);
    const difference = this.#samples === 1 ? 0 : durationMs - this.#meanMs;
    this.#meanMs = this.#samples === 1 ? durationMs : this.#meanMs;
    this.#meanMs += weight * difference;
    this.#deviationMs += weight * (Math.abs(difference) - this.#deviationMs);
  }

  /** Records how much runs at once. */
  running(count: number, now: Millis): void {
    const period = Math.floor(now / PEAK_PERIOD_MS);
    if (period !== this.#period) {
      this.#lastPeak = period === this.#period + 1 ? this.#peak : 0;
      this.#peak = 0;
      this.#period = period;
    }
    this.#peak = Math.max(this.#peak, count);
  }

  /** Time until `starts` pieces of work have started at the measured rate. */
  timeFor(starts: number): Millis | undefined {
    return this.timeAt(starts, Math.max(this.#peak, this.#lastPeak));
  }

  /** Time until `starts` pieces of work have started while `parallel` run at once. */
  timeAt(starts: number, parallel: number): Millis | undefined {
    if (this.#samples < MIN_SAMPLES || parallel < 1) {
      return undefined;
    }
    return (starts * this.#meanMs) / parallel;
  }
}
