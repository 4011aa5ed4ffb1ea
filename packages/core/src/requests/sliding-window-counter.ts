import type { Millis } from '../types/index.js';

const BUCKET_MS = 100;
const BUCKET_COUNT = 10;

/** Counts the events of the last second in buckets of 100 ms. */
export class SlidingWindowCounter {
  readonly #counts = new Array<number>(BUCKET_COUNT).fill(0);
  #bucket = Number.NEGATIVE_INFINITY;
  #total = 0;

  add(now: Millis): void {
    this.#advance(now);
    const index = this.#bucket % BUCKET_COUNT;
    this.#counts[index] = (this.#counts[index] ?? 0) + 1;
    this.#total += 1;
  }

  total(now: Millis): number {
    this.#advance(now);
    return this.#total;
  }

  #advance(now: Millis): void {
    const bucket = Math.max(0, Math.floor(now / BUCKET_MS));
    const steps = Math.min(BUCKET_COUNT, bucket - this.#bucket);
    for (let step = 0; step < steps; step += 1) {
      this.#clear((((bucket - step) % BUCKET_COUNT) + BUCKET_COUNT) % BUCKET_COUNT);
    }
    this.#bucket = Math.max(this.#bucket, bucket);
  }

  #clear(index: number): void {
    this.#total -= this.#counts[index] ?? 0;
    this.#counts[index] = 0;
  }
}
