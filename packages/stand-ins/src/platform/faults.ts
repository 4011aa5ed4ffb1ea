/** Faults of a platform stand-in. Times in milliseconds; counts apply to that many calls. */
export interface PlatformFaults {
  /** Every call is answered with 503 and has no effect. */
  readonly down: boolean;
  /** Delay before a call takes effect. */
  readonly slowMs: number;
  /** Writes accepted per second; further ones are answered with 429. 0 means no limit. */
  readonly writesPerSecond: number;
  /** Reads accepted per second; further ones are answered with 429. 0 means no limit. */
  readonly readsPerSecond: number;
  /** Writes that take effect and whose connection is then closed without an answer. */
  readonly loseAnswers: number;
  /** Delay between the effect of a call and its answer. */
  readonly lateMs: number;
  /** Writes that are handled twice; the answer is that of the second time. */
  readonly repeatRequests: number;
  /** Uploads of which only the first half is stored. */
  readonly truncateUploads: number;
}

export const NO_FAULTS: PlatformFaults = {
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
export type CallKind = 'read' | 'write';

const WINDOW_MS = 1_000;

/** Fault switches of one stand-in and the calls it counted. */
export class FaultSwitches {
  #faults: PlatformFaults = NO_FAULTS;
  #windowStart = 0;
  #inWindow: Readonly<Record<CallKind, number>> = { read: 0, write: 0 };
  #total: Readonly<Record<CallKind, number>> = { read: 0, write: 0 };

  get current(): PlatformFaults {
    return this.#faults;
  }

  /** Calls seen since the start, refused ones included. */
  get total(): Readonly<Record<CallKind, number>> {
    return this.#total;
  }

  /** Changes the named faults and leaves the others as they are. */
  set(faults: Partial<PlatformFaults>): void {
    this.#faults = { ...this.#faults, ...faults };
  }

  clear(): void {
    this.#faults = NO_FAULTS;
  }

  /** Counts a call; false when it exceeds the rate limit. `now` in monotonic milliseconds. */
  admit(kind: CallKind, now: number): boolean {
    if (now - this.#windowStart >= WINDOW_MS) {
      this.#windowStart = now;
      this.#inWindow = { read: 0, write: 0 };
    }
    this.#inWindow = { ...this.#inWindow, [kind]: this.#inWindow[kind] + 1 };
    this.#total = { ...this.#total, [kind]: this.#total[kind] + 1 };
    const { writesPerSecond, readsPerSecond } = this.#faults;
    const limit = kind === 'write' ? writesPerSecond : readsPerSecond;
    return limit === 0 || this.#inWindow[kind] <= limit;
  }

  /** Uses up one of the calls that a fault still applies to. */
  take(fault: CountedFault): boolean {
    const left = this.#faults[fault];
    if (left === 0) {
      return false;
    }
    this.set({ [fault]: left - 1 });
    return true;
  }
}
