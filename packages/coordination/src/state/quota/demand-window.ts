import type { Millis } from '@turmerichoist/core';
import { GRANT_IDLE_MS } from './constants.js';

interface Sample {
  readonly at: Millis;
  readonly need: number;
}

/** Highest need within the last `GRANT_IDLE_MS`. */
export class DemandWindow {
  /** Falling needs: an earlier sample that a later one exceeds can't be the highest any more. */
  #samples: readonly Sample[] = [];

  record(need: number, now: Millis): void {
    if (this.#samples.at(-1)?.need === need) {
      return;
    }
    const higher = this.#samples.filter((sample) => sample.need > need);
    this.#samples = [...higher, { at: now, need }];
  }

  /** The latest sample counts for as long as no other follows it. */
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
