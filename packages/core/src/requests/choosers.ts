import type { Millis, Random } from '../types/index.js';
import type { ExecutorView } from './executor.js';
import { slotsWithin } from './slot-interval.js';

/**
 * Maximum age of a load report. With 8 slots and requests of 100 ms, a slot becomes free every 12
 * ms: using reports for 250 ms left slots idle and quadrupled the median wait at 90% of capacity.
 */
const REPORT_FRESH_MS = 50;

/** Input to the choice of an executor besides the candidates. */
export interface ChoiceContext {
  readonly now: Millis;
  /** Number of live entries, including this one. */
  readonly entries: number;
  /** Zero-based index of this entry among the live entries. */
  readonly rank: number;
}

/** Load-balancing policy: chooses the executor of an attempt. */
export interface ExecutorChooser {
  /** Returns one of `candidates`, or `undefined` if all of them are considered full. */
  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined;
}

type LoadFunction = (view: ExecutorView) => number;

const localLoad: LoadFunction = (view) => view.outstanding / view.slots;

function hasFreeSlot(view: ExecutorView): boolean {
  return view.outstanding < view.slots;
}

/** Returns the view with the least load. A random starting point breaks ties evenly. */
function leastLoaded<V extends ExecutorView>(
  views: readonly V[],
  load: LoadFunction,
  random: Random,
): V | undefined {
  const offset = views.length > 1 ? random.nextInt(views.length) : 0;
  const rotated = [...views.slice(offset), ...views.slice(0, offset)];
  let best = rotated[0];
  for (const view of rotated) {
    if (best !== undefined && load(view) < load(best)) {
      best = view;
    }
  }
  return best;
}

/** Returns the less loaded of two distinct views picked at random. */
function betterOfTwo<V extends ExecutorView>(
  views: readonly V[],
  load: LoadFunction,
  random: Random,
): V | undefined {
  if (views.length < 2) {
    return views[0];
  }
  const first = random.nextInt(views.length);
  const second = (first + 1 + random.nextInt(views.length - 1)) % views.length;
  const [a, b] = [views[first], views[second]];
  return a !== undefined && b !== undefined && load(b) < load(a) ? b : a;
}

/**
 * Least outstanding requests: chooses the executor with the lowest share of slots used by this
 * entry.
 */
export class LeastOutstanding implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[]): V | undefined {
    return leastLoaded(candidates.filter(hasFreeSlot), localLoad, this.#random);
  }
}

/** Power of two choices: as `LeastOutstanding`, but among two executors picked at random. */
export class TwoChoices implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[]): V | undefined {
    return betterOfTwo(candidates.filter(hasFreeSlot), localLoad, this.#random);
  }
}

/**
 * Least outstanding requests within an equal share of each executor's slots. The shares of all
 * entries add up to the number of slots, so no executor is sent more than it can run.
 */
export class SlotShare implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined {
    const interval = { from: ctx.rank / ctx.entries, to: (ctx.rank + 1) / ctx.entries };
    const eligible = candidates.filter(
      (view) => view.outstanding < slotsWithin(interval, view.slots, view.roundingPhase),
    );
    return leastLoaded(eligible, localLoad, this.#random);
  }
}

/**
 * Power of two choices by the load that each executor reported with its last response, adjusted by
 * the attempts that this entry started and ended there since. Stale reports are ignored.
 */
export class ReportedLoad implements ExecutorChooser {
  readonly #random: Random;

  constructor(random: Random) {
    this.#random = random;
  }

  choose<V extends ExecutorView>(candidates: readonly V[], ctx: ChoiceContext): V | undefined {
    const load: LoadFunction = (view) => estimatedLoad(view, ctx.now);
    return betterOfTwo(
      candidates.filter((view) => hasFreeSlot(view) && load(view) < 1),
      load,
      this.#random,
    );
  }
}

/** Estimated fraction of slots in use: by all entries if the report is fresh, else by this one. */
function estimatedLoad(view: ExecutorView, now: Millis): number {
  const report = view.lastReport;
  if (report === undefined || now - report.receivedAt > REPORT_FRESH_MS) {
    return localLoad(view);
  }
  const running = report.running + view.outstanding - report.outstanding;
  return Math.max(view.outstanding, running) / report.slots;
}
