import { Heap, ManualClock, type Millis } from '@turmerichoist/core';

interface TimedAction {
  readonly at: Millis;
  readonly seq: number;
  readonly run: () => void;
}

/** Runs scheduled actions in the order of their virtual times. */
export class VirtualTimeScheduler {
  readonly #clock = new ManualClock();
  readonly #actions = new Heap<TimedAction>(
    (a, b) => a.at < b.at || (a.at === b.at && a.seq < b.seq),
  );
  #seq = 0;

  now(): Millis {
    return this.#clock.now();
  }

  after(delay: Millis, run: () => void): void {
    this.#seq += 1;
    this.#actions.push({ at: this.now() + delay, seq: this.#seq, run });
  }

  every(period: Millis, run: () => void): void {
    this.after(period, () => {
      run();
      this.every(period, run);
    });
  }

  /** Runs everything that is due up to `end`. */
  runUntil(end: Millis): void {
    for (let next = this.#actions.peek(); next !== undefined && next.at <= end;) {
      this.#actions.pop();
      this.#clock.advance(next.at - this.now());
      next.run();
      next = this.#actions.peek();
    }
  }
}
