import type { Clock, Millis } from '@turmerichoist/core';

/** The clock of the process. */
export class SystemClock implements Clock {
  now(): Millis {
    return performance.now();
  }

  wall(): Millis {
    return Date.now();
  }
}
