import type { Clock, Millis } from '@turmerichoist/core';

interface TimedAction {
  readonly at: Millis;
  readonly run: () => void;
}

/** Virtual clock that runs scheduled actions in time order as it is advanced. */
export class VirtualClock implements Clock {
  readonly #actions: TimedAction[] = [];
  #now: Millis = 0;

  now(): Millis {
    return this.#now;
  }

  wall(): Millis {
    return this.#now;
  }

  after(ms: Millis, run: () => void): void {
    const at = this.#now + ms;
    let low = 0;
    let high = this.#actions.length;
    while (low < high) {
      const middle = Math.floor((low + high) / 2);
      if ((this.#actions[middle]?.at ?? at) <= at) {
        low = middle + 1;
      } else {
        high = middle;
      }
    }
    this.#actions.splice(low, 0, { at, run });
  }

  every(ms: Millis, run: () => void): void {
    this.after(ms, () => {
      run();
      this.every(ms, run);
    });
  }

  advance(ms: Millis): void {
    const end = this.#now + ms;
    let next = this.#actions[0];
    while (next !== undefined && next.at <= end) {
      this.#actions.shift();
      this.#now = next.at;
      next.run();
      next = this.#actions[0];
    }
    this.#now = end;
  }
}
