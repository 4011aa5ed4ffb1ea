import type { Millis } from '@turmerichoist/core';

/** Lateness of a periodic timer from which the event loop counts as late. */
const LATE_MS: Millis = 400;
/** Number of late ticks in a row from which the process counts as overloaded. */
const OVERLOADED_TICKS = 3;

/** Judges the load of a process by the lateness of a periodic timer on its event loop. */
export class LoopLateness {
  readonly #periodMs: Millis;
  #lastTickAt: Millis | undefined;
  #lateTicks = 0;

  constructor(periodMs: Millis) {
    this.#periodMs = periodMs;
  }

  /** Whether the last tick was late. */
  get late(): boolean {
    return this.#lateTicks > 0;
  }

  /** Whether the last three ticks were late. */
  get overloaded(): boolean {
    return this.#lateTicks >= OVERLOADED_TICKS;
  }

  /** Called by the timer. `now` is monotonic. */
  tick(now: Millis): void {
    const lateMs = now - (this.#lastTickAt ?? now) - this.#periodMs;
    this.#lastTickAt = now;
    this.#lateTicks = lateMs > LATE_MS ? this.#lateTicks + 1 : 0;
  }
}
