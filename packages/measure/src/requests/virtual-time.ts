import { Heap, ManualClock, type Millis } from '@turmerichoist/core';

interface Timed {
  readonly at: Millis;
  readonly seq: number;
  readonly run: () => void;
}

/** Runs actions in the order of their virtual times. */
export class VirtualTime {
  readonly #clock = new ManualClock();
  readonly #due = new Heap<Timed>((a, b) => a.at < b.at || (a.at === b.at && a.seq < b.seq));
  #seq = 0;

  now(): Millis {
    return this.#clock.now();
  }

  after(delay: Millis, run: () => void): void {
    this.#seq += 1;
    this.#due.push({ at: this.now() + delay, seq: this.#seq, run });
  }

  every(period: Millis, run: () => void): void {
    this.after(period, () => {
      run();
      this.every(period, run);
    });
  }

  /** Runs everything that is due up to `end`. */
  runUntil(end: Millis): void {
    for (let next = this.#due.peek(); next !== undefined && next.at <= end;) {
      this.#due.pop();
      this.#clock.advance(next.at - this.now());
      next.run();
      next = this.#due.peek();
    }
  }
}
