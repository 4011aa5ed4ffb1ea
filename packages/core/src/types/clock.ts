/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/** A point in time before every reading of a clock. */
export const NEVER: Millis = Number.NEGATIVE_INFINITY;

/** Time source. Decisions use only `now`, since wall clocks of two instances cannot be compared. */
export interface Clock {
  /** Monotonic time in milliseconds since an arbitrary origin. */
  now(): Millis;
  /** Wall-clock time in milliseconds since the Unix epoch, for human-readable records. */
  wall(): Millis;
}

/** Clock that advances only on request, for tests and replay. */
export class ManualClock implements Clock {
  readonly #wallOffset: Millis;
  #now: Millis;

  constructor(now: Millis = 0, wallOffset: Millis = 0) {
    this.#now = now;
    this.#wallOffset = wallOffset;
  }

  now(): Millis {
    return this.#now;
  }

  wall(): Millis {
    return this.#now + this.#wallOffset;
  }

  advance(ms: Millis): void {
    this.#now += ms;
  }
}
