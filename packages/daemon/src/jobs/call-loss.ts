import type { Clock, Millis } from '@turmerichoist/core';

/** Length of one period of counting. The present and the previous one are taken together. */
const PERIOD_MS: Millis = 1_000;
/** Share of unanswered calls from which on calls count as being lost. */
const LOST_SHARE = 0.01;
/** A few unanswered calls are the end of single executors. */
const MIN_LOST_CALLS = 3;

interface Counts {
  readonly calls: number;
  readonly lost: number;
}

const NO_CALLS: Counts = { calls: 0, lost: 0 };

/** Tells whether calls to executors are being lost, from the recent calls over all links. */
export class CallLoss {
  readonly #clock: Clock;
  #period = 0;
  #present = NO_CALLS;
  #previous = NO_CALLS;

  constructor(clock: Clock) {
    this.#clock = clock;
  }

  /** Records a call that has ended. */
  record(answered: boolean): void {
    this.#advance();
    const { calls, lost } = this.#present;
    this.#present = { calls: calls + 1, lost: lost + (answered ? 0 : 1) };
  }

  get elevated(): boolean {
    this.#advance();
    const calls = this.#present.calls + this.#previous.calls;
    const lost = this.#present.lost + this.#previous.lost;
    return lost >= MIN_LOST_CALLS && lost >= calls * LOST_SHARE;
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
