import type { TeamName } from '../types/index.js';

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
  const shares = new Map<TeamName, number>();
  let capacityLeft = capacity;
  let weightLeft = demands.reduce((sum, item) => sum + item.weight, 0);
  let level = 0;
  for (const item of ordered) {
    level = capacityLeft / weightLeft;
    const share = Math.min(item.demand, item.weight * level);
    shares.set(item.team, share);
    capacityLeft -= share;
    weightLeft -= item.weight;
  }
  return { shares, level };
}
