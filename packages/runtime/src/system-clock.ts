import type { Clock, Millis } from '@turmerichoist/core';

/** Reads the monotonic clock and the wall clock of the operating system. */
export class SystemClock implements Clock {
  now(): Millis {
    return performance.now();
  }

  wall(): Millis {
    return Date.now();
  }
}
