import type { Clock, Millis } from '@turmerichoist/core';

/** Length of one period of counting. The present and the previous one are taken together. */
const PERIOD_MS: Millis = 1_000;
/** A few unanswered calls are the end of single executors. */
const MIN_LOST_CALLS = 3;
/** Shares of unanswered calls between which calls are being lost; above, this process is slow or cut off. */
const MIN_LOST_SHARE = 0.01;
const MAX_LOST_SHARE = 0.25;
/** Orders are answered within milliseconds, but for an executor or an owner that is slow. */
const ANSWER_TIMEOUT_MS: Millis = 450;
const MIN_ANSWER_TIMEOUT_MS: Millis = 100;
/** Weights of a new sample and factor of the deviation, as in the retransmission timer of TCP. */
const TIME_WEIGHT = 1 / 8;
const DEVIATION_WEIGHT = 1 / 4;
const DEVIATION_FACTOR = 4;

interface Counts {
  readonly calls: number;
  readonly lost: number;
}

const NO_CALLS: Counts = { calls: 0, lost: 0 };

/**
 * Tells from the recent calls over all links whether calls to executors are being lost, and how long
 * to wait for an answer. While none are lost, patience costs nothing.
 */
export class CallLoss {
  readonly #clock: Clock;
  #period = 0;
  #present = NO_CALLS;
  #previous = NO_CALLS;
  #answerMs: Millis = 0;
  #deviationMs: Millis = ANSWER_TIMEOUT_MS;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a call that has ended. */
  record(answered: boolean): void {
    this.#advance();
    const { calls, lost } = this.#present;
    this.#present = { calls: calls + 1, lost: lost + (answered ? 0 : 1) };
  }

  /** Records the time that the answer to an order took. */
  recordTime(answerMs: Millis): void {
    const deviationMs = Math.abs(answerMs - this.#answerMs);
    this.#deviationMs += DEVIATION_WEIGHT * (deviationMs - this.#deviationMs);
    this.#answerMs += TIME_WEIGHT * (answerMs - this.#answerMs);
  }

  /** Whether calls are being lost. */
  get elevated(): boolean {
    this.#advance();
    const calls = this.#present.calls + this.#previous.calls;
    const lost = this.#present.lost + this.#previous.lost;
    const share = lost / Math.max(1, calls);
    return lost >= MIN_LOST_CALLS && share >= MIN_LOST_SHARE && share <= MAX_LOST_SHARE;
  }

  /** Time after which a call that should be answered at once counts as unanswered. */
  get answerTimeoutMs(): Millis {
    if (!this.elevated) {
      return ANSWER_TIMEOUT_MS;
    }
    const expectedMs = this.#answerMs + DEVIATION_FACTOR * this.#deviationMs;
    return Math.min(ANSWER_TIMEOUT_MS, Math.max(MIN_ANSWER_TIMEOUT_MS, expectedMs));
  }

  #advance(): void {
    const period = Math.floor(this.#clock.now() / PERIOD_MS);
    if (period !== this.#period) {
      this.#previous = period === this.#period + 1 ? this.#present : NO_CALLS;
      this.#present = NO_CALLS;
      this.#period = period;
    }
  }
}
