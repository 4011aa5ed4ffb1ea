/** Bounds of the calls that are relayed at the same time. */
export interface CallBounds {
  readonly calls: number;
  /** Bytes of the requests. */
  readonly bytes: number;
}

/** Keeps account of calls in flight within bounds. */
export class CallBudget {
  readonly #bounds: CallBounds;
  #calls = 0;
  #bytes = 0;

  constructor(bounds: CallBounds) {
    this.#bounds = bounds;
  }

  get calls(): number {
    return this.#calls;
  }

  /** Takes a call of that size into account; returns false if it exceeds a bound. */
  take(bytes: number): boolean {
    if (this.#calls >= this.#bounds.calls || this.#bytes + bytes > this.#bounds.bytes) {
      return false;
    }
    this.#calls += 1;
    this.#bytes += bytes;
    return true;
  }

  /** Returns what `take` has taken. */
  release(bytes: number): void {
    this.#calls -= 1;
    this.#bytes -= bytes;
  }
}
