import type { Millis } from '../types/index.js';

const NEWEST_SAMPLE_WEIGHT = 0.05;
/**
 * No estimate is given with fewer samples, since a wrong one would refuse requests that could run.
 */
const MIN_SAMPLES = 20;
/** Peak concurrency is the maximum over the current and the previous period of this length. */
const PEAK_PERIOD_MS = 1_000;

/**
 * Estimates the service rate of a queue as peak concurrency divided by mean duration. The peak is
 * used so that a short pause of the executors does not make deadlines look unreachable.
 */
export class ServiceRateEstimator {
  #samples = 0;
  #meanMs: Millis = 0;
  #deviationMs: Millis = 0;
  #period = Number.NEGATIVE_INFINITY;
  #currentPeak = 0;
  #previousPeak = 0;

  /** Upper bound for most attempts: the mean plus twice the mean deviation. 0 without samples. */
  get typicalMs(): Millis {
    return this.#meanMs + 2 * this.#deviationMs;
  }

  /** Records the duration of an attempt that ended with a response. */
  recordDuration(durationMs: Millis): void {
    this.#samples += 1;
    const weight = Math.max(NEWEST_SAMPLE_WEIGHT, 1 / this.#samples);
    const difference = this.#samples === 1 ? 0 : durationMs - this.#meanMs;
    this.#meanMs = this.#samples === 1 ? durationMs : this.#meanMs;
    this.#meanMs += weight * difference;
    this.#deviationMs += weight * (Math.abs(difference) - this.#deviationMs);
  }

  /** Records the number of requests running at once. */
  recordConcurrency(count: number, now: Millis): void {
    const period = Math.floor(now / PEAK_PERIOD_MS);
    if (period !== this.#period) {
      this.#previousPeak = period === this.#period + 1 ? this.#currentPeak : 0;
      this.#currentPeak = 0;
      this.#period = period;
    }
    this.#currentPeak = Math.max(this.#currentPeak, count);
  }

  /** Estimated time until `starts` requests have started at the measured rate. */
  timeToStart(starts: number): Millis | undefined {
    return this.timeToStartAtConcurrency(starts, Math.max(this.#currentPeak, this.#previousPeak));
  }

  /** Estimated time until `starts` requests have started while `concurrency` run at once. */
  timeToStartAtConcurrency(starts: number, concurrency: number): Millis | undefined {
    if (this.#samples < MIN_SAMPLES || concurrency < 1) {
      return undefined;
    }
    return (starts * this.#meanMs) / concurrency;
  }
}
