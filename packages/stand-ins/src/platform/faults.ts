/**
 * Faults that a platform stand-in injects. Times are in milliseconds. A count applies to that many
 * requests.
 */
export interface PlatformFaults {
  /** Every request is answered with 503 and has no effect. */
  readonly down: boolean;
  /** Delay before a request takes effect. */
  readonly slowMs: number;
  /** Writes accepted per second; further ones are answered with 429. 0 means no limit. */
  readonly writesPerSecond: number;
  /** Reads accepted per second; further ones are answered with 429. 0 means no limit. */
  readonly readsPerSecond: number;
  /** Writes that take effect and whose connection is then closed without a response. */
  readonly loseAnswers: number;
  /** Delay between the effect of a request and its response. */
  readonly lateMs: number;
  /** Writes that are handled twice; the response is that of the second time. */
  readonly repeatRequests: number;
  /** Uploads of which only the first half is stored. */
  readonly truncateUploads: number;
}

const NO_PLATFORM_FAULTS: PlatformFaults = {
  down: false,
  slowMs: 0,
  writesPerSecond: 0,
  readsPerSecond: 0,
  loseAnswers: 0,
  lateMs: 0,
  repeatRequests: 0,
  truncateUploads: 0,
};

export type CountedFault = 'loseAnswers' | 'repeatRequests' | 'truncateUploads';
export type RequestKind = 'read' | 'write';

const RATE_WINDOW_MS = 1_000;

/** Holds the active faults of one stand-in, counts its requests and applies the rate limits. */
export class FaultInjector {
  #faults: PlatformFaults = NO_PLATFORM_FAULTS;
  #windowStart = 0;
  #windowCounts: Readonly<Record<RequestKind, number>> = { read: 0, write: 0 };
  #totalCounts: Readonly<Record<RequestKind, number>> = { read: 0, write: 0 };

  get current(): PlatformFaults {
    return this.#faults;
  }

  /** Requests received since the start, including refused ones. */
  get total(): Readonly<Record<RequestKind, number>> {
    return this.#totalCounts;
  }

  /** Sets the given faults and leaves the others unchanged. */
  set(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  clear(): void {
    this.#faults = NO_PLATFORM_FAULTS;
  }

  /**
   * Counts a request. Returns false when it exceeds the rate limit. `now` is in milliseconds of a
   * monotonic clock.
   */
  admit(kind: RequestKind, now: number): boolean {
    if (now - this.#windowStart >= RATE_WINDOW_MS) {
      this.#windowStart = now;
      this.#windowCounts = { read: 0, write: 0 };
    }
    this.#windowCounts = { ...this.#windowCounts, [kind]: this.#windowCounts[kind] + 1 };
    this.#totalCounts = { ...this.#totalCounts, [kind]: this.#totalCounts[kind] + 1 };
    const { writesPerSecond, readsPerSecond } = this.#faults;
    const limit = kind === 'write' ? writesPerSecond : readsPerSecond;
    return limit === 0 || this.#windowCounts[kind] <= limit;
  }

  /** Decrements the count of a fault. Returns false when the fault no longer applies. */
  consume(fault: CountedFault): boolean {
    const remaining = this.#faults[fault];
    if (remaining === 0) {
      return false;
    }
    this.set({ [fault]: remaining - 1 });
    return true;
  }
}
