import type { PoolName } from '../types/index.js';
import type { Resources } from './model.js';

/**
 * Division of a team's upper limit between pools. The parts never exceed the limit in total. A part
 * belongs to the pool and not to the pool's owner, so a new owner takes it over.
 */
export type AllowanceParts = ReadonlyMap<PoolName, Resources>;

export interface AllowanceRequest {
  readonly pool: PoolName;
  /** Charged by the team's leases on this pool; can't be returned before they have ended. */
  readonly charged: Resources;
  /** Demand of the team on this pool. */
  readonly demand: Resources;
}

const FIELDS = ['processors', 'memoryMb', 'accelerators'] as const;

type Field = (typeof FIELDS)[number];

export function sameResources(a: Resources, b: Resources): boolean {
  return FIELDS.every((field) => a[field] === b[field]);
}

/**
 * Returns the part that a pool should hold: its demand, as far as the other pools leave it free.
 * While other pools hold parts, it does not grow beyond an equal split of the limit. What is
 * charged is kept.
 */
export function planAllowance(
  parts: AllowanceParts,
  limit: Resources,
  request: AllowanceRequest,
): Resources {
  const others = [...parts].filter(([pool]) => pool !== request.pool).map(([, part]) => part);
  const part = (field: Field): number => {
    const taken = others.reduce((sum, each) => sum + each[field], 0);
    const free = Math.max(0, limit[field] - taken);
    const sharers = others.filter((each) => each[field] > 0).length + 1;
    const equal = Math.floor(limit[field] / sharers);
    const held = parts.get(request.pool)?.[field] ?? 0;
    // A part that already exceeds the equal split may be kept while the other pools leave it free.
    const target = Math.min(request.demand[field], free, Math.max(equal, held));
    return Math.max(target, Math.min(held, request.charged[field]));
  };
  return {
    processors: part('processors'),
    memoryMb: part('memoryMb'),
    accelerators: part('accelerators'),
  };
}
