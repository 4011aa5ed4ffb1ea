import type { AttemptResult, LoadReport, Millis, Random } from '@turmerichoist/core';
import type { VirtualTime } from './virtual-time.js';

/** Behaviour of one executor. */
export interface ExecutorProfile {
  readonly slots: number;
  readonly meanMs: Millis;
  /** Probability that an attempt fails. */
  readonly failing: number;
}

const FAIL_AFTER_MS = 5;
const WIRE_MS = 0.5;

export type EndOfAttempt = (result: AttemptResult, load: LoadReport) => void;

/** Runs up to `slots` attempts at once and refuses the others, as an upstream does. */
export class FakeExecutor {
  readonly #profile: ExecutorProfile;
  readonly #time: VirtualTime;
  readonly #random: Random;
  #running = 0;

  constructor(profile: ExecutorProfile, time: VirtualTime, random: Random) {
    this.#profile = profile;
    this.#time = time;
    this.#random = random;
  }

  /** `left` is the time until the deadline of the attempt. */
  attempt(left: Millis, end: EndOfAttempt): void {
    this.#time.after(WIRE_MS, () => {
      if (this.#running >= this.#profile.slots) {
        this.#answer({ type: 'refused' }, end);
      } else {
        this.#run(left, end);
      }
    });
  }

  #run(left: Millis, end: EndOfAttempt): void {
    this.#running += 1;
    const fails = this.#random.next() < this.#profile.failing;
    const serviceMs = fails ? FAIL_AFTER_MS : this.#serviceMs();
    const late = serviceMs > left;
    this.#time.after(Math.min(serviceMs, left), () => {
      this.#running -= 1;
      this.#answer({ type: late ? 'timed-out' : fails ? 'failed' : 'answered' }, end);
    });
  }

  /** Half of the mean is fixed and half is exponentially distributed. */
  #serviceMs(): Millis {
    const { meanMs } = this.#profile;
    return meanMs / 2 - (meanMs / 2) * Math.log(1 - this.#random.next());
  }

  #answer(result: AttemptResult, end: EndOfAttempt): void {
    const load = { running: this.#running, slots: this.#profile.slots };
    this.#time.after(WIRE_MS, () => {
      end(result, load);
    });
  }
}
