import type { Millis } from '../types/index.js';

/** The clock of an executor runs at least this fast, measured by the local one. */
const MIN_CLOCK_RATE = 0.98;
/** Covers the rounding of clock readings and their small steps. */
const CLOCK_TOLERANCE_MS: Millis = 100;

interface ClockReading {
  readonly executorMs: Millis;
  /** Local time at which the answer with it was received. */
  readonly readAt: Millis;
}

/** When a call was sent and its answer received, on the local clock. */
export interface CallTimes {
  readonly sentAt: Millis;
  readonly receivedAt: Millis;
}

/**
 * What the answers of an executor tell of its clock, on which the ends of leases are given, and of its
 * restarts. Processes under one id answer at one address, and each counts its clock from its start: a
 * clock that has gone back shows another process, too. Answers may be received in another order.
 */
export class ExecutorClock {
  #process = 0;
  /** Start time of the present process, if a report has told it. */
  #startedWallMs: Millis | undefined;
  readonly #formerStarts = new Set<Millis>();
  #reading: ClockReading | undefined;
  #leaseEnd: Millis | undefined;
  /** Local time at which the present process was first seen. */
  #seenAt: Millis = -Infinity;

  /** Number of processes that answers have shown before the present one. */
  get process(): number {
    return this.#process;
  }

  /** Latest lease end that was asked for, on the clock of the present process. */
  get leaseEnd(): Millis | undefined {
    return this.#leaseEnd;
  }

  /** Returns the end of a lease that begins now, which never decreases; undefined if not known. */
  extendLease(termMs: Millis, now: Millis): Millis | undefined {
    if (this.#reading === undefined) {
      return undefined;
    }
    const { executorMs, readAt } = this.#reading;
    const end = Math.floor(executorMs + (now - readAt) + termMs);
    this.#leaseEnd = Math.max(this.#leaseEnd ?? end, end);
    return this.#leaseEnd;
  }

  /** An order was answered. */
  onAnswer(executorMs: Millis, times: CallTimes): void {
    if (times.sentAt < this.#seenAt) {
      // It may be an answer of a former process.
      return;
    }
    if (this.#hasGoneBack(executorMs, times)) {
      this.#beginProcess(undefined, times.receivedAt);
    }
    this.#reading = { executorMs, readAt: times.receivedAt };
  }

  /** A poll was answered. Returns false if the answer is that of a former process. */
  onReport(startedWallMs: Millis, executorMs: Millis, { sentAt, receivedAt }: CallTimes): boolean {
    // A clock that was stopped for a while seems to have gone back, though the process is the same.
    if (this.#formerStarts.has(startedWallMs) && sentAt < this.#seenAt) {
      return false;
    }
    if (this.#startedWallMs === undefined) {
      this.#startedWallMs = startedWallMs;
    } else if (this.#startedWallMs !== startedWallMs) {
      this.#beginProcess(startedWallMs, receivedAt);
    }
    this.#reading = { executorMs, readAt: receivedAt };
    return true;
  }

  /** Whether the clock shows less than it can have reached since its last reading. */
  #hasGoneBack(executorMs: Millis, { sentAt }: CallTimes): boolean {
    if (this.#reading === undefined) {
      return false;
    }
    const elapsedMs = sentAt - this.#reading.readAt;
    const atLeast = this.#reading.executorMs + Math.min(elapsedMs, elapsedMs * MIN_CLOCK_RATE);
    return executorMs < atLeast - CLOCK_TOLERANCE_MS;
  }

  #beginProcess(startedWallMs: Millis | undefined, now: Millis): void {
    if (this.#startedWallMs !== undefined) {
      this.#formerStarts.add(this.#startedWallMs);
    }
    this.#process += 1;
    this.#startedWallMs = startedWallMs;
    this.#leaseEnd = undefined;
    this.#seenAt = now;
  }
}
