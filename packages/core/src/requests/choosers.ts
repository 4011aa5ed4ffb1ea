import type { Millis, Random } from '../types/index.js';
import type { ExecutorView } from './executor.js';
import { slotsWithin } from './slot-part.js';

/**
 * Age at which a load report is ignored. With 8 slots and 100 ms of work, a slot becomes free every
 * 12 ms: trusting reports for 250 ms left slots idle and made the median wait at 0.9 of capacity
 * four times as long.
 */
export const REPORT_FRESH_MS = 50;

/** What a choice may depend on besides the candidates. */
export interface ChoiceContext {
  readonly now: Millis;
  /** Number of live entries, this one included. */
  readonly entries: number;
  /** Position of this entry among the live entries, counted from 0. */
  readonly rank: number;
}

/** Picks the executor of one attempt. */
export interface ExecutorChooser {
  /** One of `candidates`, or `undefined` if all of them are taken to be full. */
  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined;
}

type Load = (view: ExecutorView) => number;

const ownLoad: Load = (view) => view.outstanding / view.slots;

function hasOwnRoom(view: ExecutorView): boolean {
  return view.outstanding < view.slots;
}

/** The view with the least load, starting at a random one so that ties are spread. */
function leastLoaded<V extends ExecutorView>(
  views: readonly V[],
  load: Load,
  random: Random,
): V | undefined {
  const offset = views.length > 1 ? random.below(views.length) : 0;
  const rotated = [...views.slice(offset), ...views.slice(0, offset)];
  let best = rotated[0];
  for (const view of rotated) {
    if (best !== undefined && load(view) < load(best)) {
      best = view;
    }
  }
  return best;
}

/** The better of two distinct views picked at random. */
function betterOfTwo<V extends ExecutorView>(
  views: readonly V[],
  load: Load,
  random: Random,
): V | undefined {
  if (views.length < 2) {
    return views[0];
  }
  const first = random.below(views.length);
  const second = (first + 1 + random.below(views.length - 1)) % views.length;
  const [a, b] = [views[first], views[second]];
  return a !== undefined && b !== undefined && load(b) < load(a) ? b : a;
}

/** The executor with the fewest attempts of this entry. */
export class LeastOutstanding implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[]): V | undefined {
    return leastLoaded(candidates.filter(hasOwnRoom), ownLoad, this.#random);
  }
}

/** The executor with fewer attempts of this entry out of two picked at random. */
export class TwoChoices implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[]): V | undefined {
    return betterOfTwo(candidates.filter(hasOwnRoom), ownLoad, this.#random);
  }
}

/**
 * Least outstanding within an equal part of each executor's slots. The parts of all entries add up
 * to the slots, so that no executor is ever offered more than it can run.
 */
export class SlotShare implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined {
    const part = { from: ctx.rank / ctx.entries, to: (ctx.rank + 1) / ctx.entries };
    const open = candidates.filter(
      (view) => view.outstanding < slotsWithin(part, view.slots, view.phase),
    );
    return leastLoaded(open, ownLoad, this.#random);
  }
}

/**
 * The less loaded of two executors picked at random, by the load that each reported with its last
 * response, corrected by what this entry started and ended there since. A stale report is ignored.
 */
export class ReportedLoad implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined {
    const load: Load = (view) => reportedLoad(view, ctx.now);
    return betterOfTwo(
      candidates.filter((view) => hasOwnRoom(view) && load(view) < 1),
      load,
      this.#random,
    );
  }
}

/** Estimated part of the slots in use, by all entries if there is a fresh report. */
function reportedLoad(view: ExecutorView, now: Millis): number {
  const report = view.reported;
  if (report === undefined || now - report.at > REPORT_FRESH_MS) {
    return ownLoad(view);
  }
  const running = report.running + view.outstanding - report.outstanding;
  return Math.max(view.outstanding, running) / report.slots;
}
