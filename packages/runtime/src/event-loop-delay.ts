import type { Clock, Millis } from '@turmerichoist/core';
import { every } from './timers.js';
import { WindowStats, type WindowSummary } from './window-stats.js';

/** Sampling period. Delays shorter than this are seen only in part of the samples. */
const SAMPLE_PERIOD_MS: Millis = 250;

/** Measures how late timers fire, which is how long the event loop was busy or not scheduled. */
export class EventLoopDelay {
  readonly #stats = new WindowStats();

  constructor(clock: Clock, signal: AbortSignal) {
    let dueAt = clock.now() + SAMPLE_PERIOD_MS;
    every(SAMPLE_PERIOD_MS, signal, () => {
      const now = clock.now();
      this.#stats.add(Math.max(0, now - dueAt));
      dueAt = now + SAMPLE_PERIOD_MS;
    });
  }

  /** Returns the delays since the last call, in milliseconds. */
  take(): WindowSummary {
    return this.#stats.take();
  }
}
