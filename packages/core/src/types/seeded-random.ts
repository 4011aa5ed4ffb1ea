import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { Random } from './random.js';

/** Deterministic random numbers from a seed (xoroshiro128+). */
export class SeededRandom implements Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.#generator = xoroshiro128plus(seed);
  }

  next(): number {
    return uniformFloat64(this.#generator);
  }

  nextInt(bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1);
  }
}
