import type { Millis } from '../types/index.js';

/** An instance about which this owner sends no order before a monotonic time. */
export interface HeldInstance {
  readonly instance: string;
  readonly until: Millis;
}

/**
 * Instances about which former owners may have sent orders so lately that orders of this owner would
 * conflict. All instances count as such until it is known which ones they ordered about.
 */
export class OrderHandover {
  #allUntil: Millis;
  #until: ReadonlyMap<string, Millis> = new Map();

  /** `allUntil`: monotonic time from which no order of a former owner conflicts. */
  constructor(allUntil: Millis) {
    this.#allUntil = allUntil;
  }

  /** Takes the instances that former owners may have ordered about. All others are free at once. */
  setHeld(held: readonly HeldInstance[]): void {
    this.#allUntil = -Infinity;
    this.#until = new Map(held.map(({ instance, until }) => [instance, until]));
  }

  holdsAll(now: Millis): boolean {
    return now < this.#allUntil;
  }

  isHeld(instance: string, now: Millis): boolean {
    return this.holdsAll(now) || now < (this.#until.get(instance) ?? -Infinity);
  }
}
