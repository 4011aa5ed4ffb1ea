import type { Millis, Random } from '../types/index.js';
import type { ExecutorView } from './executor.js';

/** Picks the executor of one attempt. */
export interface ExecutorChooser {
  /** One of `candidates`, or `undefined` if all of them are taken to be full. */
  choose<V extends ExecutorView>(candidates: readonly V[], now: Millis): V | undefined;
}

function least<V extends ExecutorView>(
  views: readonly V[],
  load: (view: V) => number,
  random: Random,
): V | undefined {
  let best: V | undefined;
  let bestLoad = Number.POSITIVE_INFINITY;
  const offset = views.length > 1 ? random.below(views.length) : 0;
  for (let step = 0; step < views.length; step += 1) {
    const view = views[(offset + step) % views.length];
    if (view !== undefined && load(view) < bestLoad) {
      best = view;
      bestLoad = load(view);
    }
  }
  return best;
}

const ownLoad = (view: ExecutorView): number => view.outstanding / view.slots;

/** The executor with the fewest attempts of this entry; ties are broken at random. */
export class LeastOutstanding implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[]): V | undefined {
    const open = candidates.filter((view) => view.outstanding < view.slots);
    return least(open, ownLoad, this.#random);
  }
}
