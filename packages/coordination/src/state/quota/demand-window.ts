import type { Millis } from '@turmerichoist/core';
import { GRANT_IDLE_MS } from './constants.js';

interface Sample {
  readonly at: Millis;
  readonly need: number;
}

/** Sliding-window maximum of the need over the last `GRANT_IDLE_MS`. */
export class DemandWindow {
  /** In descending order of need: a sample exceeded by a later one can no longer be the maximum. */
  #samples: readonly Sample[] = [];

  record(need: number, now: Millis): void {
    if (this.#samples.at(-1)?.need === need) {
      return;
    }
    const higher = this.#samples.filter((sample) => sample.need > need);
    this.#samples = [...higher, { at: now, need }];
  }

  /** Highest need in the window. A sample holds until the next one, however old it is. */
  peak(now: Millis): number {
    let first = 0;
    for (let next = this.#samples[1]; next !== undefined; next = this.#samples[first + 1]) {
      if (now - next.at < GRANT_IDLE_MS) {
        break;
      }
      first += 1;
    }
    if (first > 0) {
      this.#samples = this.#samples.slice(first);
    }
    return this.#samples[0]?.need ?? 0;
  }
}
