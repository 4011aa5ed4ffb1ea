import type { Millis } from '../types/index.js';

const NEWEST_WEIGHT = 0.05;
/** Fewer samples give no estimate: a wrong one would refuse work that could run. */
const MIN_SAMPLES = 20;

/** Measures how long one piece of work takes, and derives waits from it. */
export class ServiceMeter {
  #samples = 0;
  #meanMs: Millis = 0;

  /** Records the duration of an attempt that ended with an answer. */
  served(durationMs: Millis): void {
    this.#samples += 1;
    const weight = Math.max(NEWEST_WEIGHT, 1 / this.#samples);
    this.#meanMs += weight * (durationMs - this.#meanMs);
  }

  /** Time until `starts` pieces of work have started while `parallel` run at once. */
  timeFor(starts: number, parallel: number): Millis | undefined {
    if (this.#samples < MIN_SAMPLES || parallel < 1) {
      return undefined;
    }
    return (starts * this.#meanMs) / parallel;
  }
}
