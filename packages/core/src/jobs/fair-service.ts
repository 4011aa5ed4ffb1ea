import type { Millis } from '../types/index.js';

/** A team that is served in proportion to its weight until its work is done. */
export interface ServedTeam {
  readonly weight: number;
  /** Share of the pool while all teams are served. */
  readonly share: number;
  /** Time that the whole pool would take for its work. */
  readonly workMs: Millis;
}

/** How long teams that share a part of a pool by weight take for their work. */
export class FairService {
  /** Work of each team by its weight, from the least. */
  readonly #perWeightMs: readonly Millis[];
  /** Sum of the work of the teams before each place, and of the weights from it on. */
  readonly #doneMs: readonly Millis[];
  readonly #weightsLeft: readonly number[];
  readonly #room: number;

  constructor(teams: readonly ServedTeam[]) {
    const ordered = [...teams].sort((a, b) => a.workMs / a.weight - b.workMs / b.weight);
    this.#perWeightMs = ordered.map(({ workMs, weight }) => workMs / weight);
    this.#doneMs = sums(ordered.map(({ workMs }) => workMs));
    this.#weightsLeft = [...sums(ordered.map(({ weight }) => weight).reverse())].reverse();
    this.#room = teams.reduce((sum, { share }) => sum + share, 0);
  }

  /** Time at which each team has done this much work by its weight, or all of its work. */
  doneAtMs(perWeightMs: Millis): Millis {
    const place = countUpTo(this.#perWeightMs, perWeightMs);
    const weightLeft = this.#weightsLeft[place] ?? 0;
    return ((this.#doneMs[place] ?? 0) + weightLeft * perWeightMs) / this.#room;
  }
}

/** Sums of the first 0, 1, 2, … values. */
function sums(values: readonly number[]): readonly number[] {
  const result = [0];
  values.forEach((value) => result.push((result.at(-1) ?? 0) + value));
  return result;
}

/** Number of values that are at most `limit`, of values in ascending order. */
function countUpTo(values: readonly number[], limit: number): number {
  let [low, high] = [0, values.length];
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((values[middle] ?? Infinity) <= limit) {
      low = middle + 1;
    } else {
      high = middle;
    }
  }
  return low;
}
