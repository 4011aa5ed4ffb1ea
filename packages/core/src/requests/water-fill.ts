import type { TeamName } from '../types/index.js';

/** Demand of one team for a shared capacity. */
export interface Want {
  readonly team: TeamName;
  readonly weight: number;
  readonly demand: number;
}

export interface Filled {
  readonly shares: ReadonlyMap<TeamName, number>;
  /** Capacity per unit of weight that a team with unlimited demand gets. */
  readonly level: number;
}

/**
 * Divides `capacity` in proportion to the weights, gives no team more than it wants, and divides
 * what is left among the others in the same way.
 */
export function waterFill(capacity: number, wants: readonly Want[]): Filled {
  const ordered = [...wants].sort((a, b) => a.demand / a.weight - b.demand / b.weight);
  const shares = new Map<TeamName, number>();
  let capacityLeft = capacity;
  let weightLeft = wants.reduce((sum, want) => sum + want.weight, 0);
  let level = 0;
  for (const want of ordered) {
    level = capacityLeft / weightLeft;
    const share = Math.min(want.demand, want.weight * level);
    shares.set(want.team, share);
    capacityLeft -= share;
    weightLeft -= want.weight;
  }
  return { shares, level };
}
