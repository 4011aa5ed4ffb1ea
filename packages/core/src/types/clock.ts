/** A duration or a point in time, in milliseconds. */
export type Millis = number;

/** Reads time. Decisions use `now` only, since wall clocks of two instances can't be compared. */
export interface Clock {
  /** Monotonic milliseconds from an arbitrary origin. */
  now(): Millis;
  /** Milliseconds since the Unix epoch, for records that people read. */
  wall(): Millis;
}

/** Clock that moves only when told to. Serves tests and replay. */
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

  /** Moves time forward by `ms`. */
  advance(ms: Millis): void {
    this.#now += ms;
  }
}
