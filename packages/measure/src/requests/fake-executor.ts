import type { AttemptResult, LoadReport, Millis, Random } from '@turmerichoist/core';
import type { VirtualTimeScheduler } from './virtual-time-scheduler.js';

/** Behaviour of one executor. */
export interface ExecutorProfile {
  readonly slots: number;
  readonly meanMs: Millis;
  /** Probability that an attempt fails. */
  readonly failureRate: number;
}

const FAILURE_DELAY_MS = 5;
const NETWORK_DELAY_MS = 0.5;

export type AttemptCallback = (result: AttemptResult, load: LoadReport) => void;

/** Runs up to `slots` attempts at once and refuses the others, as an upstream does. */
export class FakeExecutor {
  readonly #profile: ExecutorProfile;
  readonly #time: VirtualTimeScheduler;
  readonly #random: Random;
  #running = 0;

  constructor(profile: ExecutorProfile, time: VirtualTimeScheduler, random: Random) {
    this.#profile = profile;
    this.#time = time;
    this.#random = random;
  }

  /** Runs or refuses an attempt. `remainingMs` is the time until its deadline. */
  attempt(remainingMs: Millis, onEnd: AttemptCallback): void {
    this.#time.after(NETWORK_DELAY_MS, () => {
      if (this.#running >= this.#profile.slots) {
        this.#answer({ type: 'refused' }, onEnd);
      } else {
        this.#run(remainingMs, onEnd);
      }
    });
  }

  #run(remainingMs: Millis, onEnd: AttemptCallback): void {
    this.#running += 1;
    const fails = this.#random.next() < this.#profile.failureRate;
    const serviceMs = fails ? FAILURE_DELAY_MS : this.#drawServiceMs();
    const timesOut = serviceMs > remainingMs;
    this.#time.after(Math.min(serviceMs, remainingMs), () => {
      this.#running -= 1;
      this.#answer({ type: timesOut ? 'timed-out' : fails ? 'failed' : 'answered' }, onEnd);
    });
  }

  /** Service time: half of the mean is fixed and half is exponentially distributed. */
  #drawServiceMs(): Millis {
    const { meanMs } = this.#profile;
    return meanMs / 2 - (meanMs / 2) * Math.log(1 - this.#random.next());
  }

  #answer(result: AttemptResult, onEnd: AttemptCallback): void {
    const load = { running: this.#running, slots: this.#profile.slots };
    this.#time.after(NETWORK_DELAY_MS, () => {
      onEnd(result, load);
    });
  }
}
