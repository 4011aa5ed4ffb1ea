import type { TeamName } from '../types/index.js';

const DEFAULT_WEIGHT = 1;
/** Weight of a team whose configured one is not positive, so that its work runs in idle capacity. */
export const MIN_TEAM_WEIGHT = 1e-6;

/** The weight that counts for a configured one: a missing one is 1, an invalid one the smallest. */
export function effectiveWeight(configured: number | undefined): number {
  const weight = configured ?? DEFAULT_WEIGHT;
  return Number.isFinite(weight) ? Math.max(MIN_TEAM_WEIGHT, weight) : MIN_TEAM_WEIGHT;
}

/** Demand and weight of one team that competes for a shared capacity. */
export interface WeightedDemand {
  readonly team: TeamName;
  readonly weight: number;
  readonly demand: number;
}

/** A weighted max-min fair allocation. */
export interface WaterFillResult {
  readonly shares: ReadonlyMap<TeamName, number>;
  /** Capacity per unit of weight for a team with unlimited demand. */
  readonly level: number;
}

/**
 * Weighted max-min fair allocation by water-filling: divides `capacity` in proportion to the
 * weights, caps each team at its demand, and redistributes the remainder among the others.
 */
export function waterFill(capacity: number, demands: readonly WeightedDemand[]): WaterFillResult {
  const ordered = [...demands].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  const weightsLeft = sumsToEnd(ordered.map(({ weight }) => weight));
  const shares = new Map<TeamName, number>();
  let capacityLeft = capacity;
  let level = 0;
  for (const [index, { team, weight, demand }] of ordered.entries()) {
    level = capacityLeft / (weightsLeft[index] ?? weight);
    const share = Math.min(demand, weight * level);
    shares.set(team, share);
    capacityLeft = Math.max(0, capacityLeft - share);
  }
  return { shares, level };
}

/** For each value, its sum with all after it. Subtraction from a total would lose small values. */
function sumsToEnd(values: readonly number[]): readonly number[] {
  const sums = [...values];
  for (let index = sums.length - 2; index >= 0; index -= 1) {
    sums[index] = (sums[index] ?? 0) + (sums[index + 1] ?? 0);
  }
  return sums;
}
