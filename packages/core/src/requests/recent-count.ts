import type { Millis } from '../types/index.js';

const BUCKET_MS = 100;
const BUCKETS = 10;

/** Counts events of the last second, in buckets of 100 ms. */
export class RecentCount {
  readonly #counts = new Array<number>(BUCKETS).fill(0);
  #bucket = Number.NEGATIVE_INFINITY;
  #total = 0;

  add(now: Millis): void {
    this.#advance(now);
    const at = this.#bucket % BUCKETS;
    this.#counts[at] = (this.#counts[at] ?? 0) + 1;
    this.#total += 1;
  }

  total(now: Millis): number {
    this.#advance(now);
    return this.#total;
  }

  #advance(now: Millis): void {
    const bucket = Math.max(0, Math.floor(now / BUCKET_MS));
    const steps = Math.min(BUCKETS, bucket - this.#bucket);
    for (let step = 0; step < steps; step += 1) {
      this.#clear((((bucket - step) % BUCKETS) + BUCKETS) % BUCKETS);
    }
    this.#bucket = Math.max(this.#bucket, bucket);
  }

  #clear(at: number): void {
    this.#total -= this.#counts[at] ?? 0;
    this.#counts[at] = 0;
  }
}
