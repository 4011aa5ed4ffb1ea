import type { PoolName } from '../types/index.js';
import type { Resources } from './model.js';

/**
 * Parts of a team's upper limit, by the pool that may use them. Their sum is within the limit. A
 * part belongs to the pool and not to its owner, so a new owner goes on with it.
 */
export type AllowanceParts = ReadonlyMap<PoolName, Resources>;

export interface AllowanceRequest {
  readonly pool: PoolName;
  /** What the pool's leases of this team count. It can't be given back before they have ended. */
  readonly charged: Resources;
  /** What the pool could use. */
  readonly wanted: Resources;
}

const FIELDS = ['processors', 'memoryMb', 'accelerators'] as const;

type Field = (typeof FIELDS)[number];

export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

/** Whether two amounts are the same. */
export function sameResources(a: Resources, b: Resources): boolean {
  return FIELDS.every((field) => a[field] === b[field]);
}

/**
 * The part that a pool should hold: what it wants, as far as the other pools leave it, and as long
 * as others hold parts, not more than an equal part of the limit. Never less than what is charged.
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
    // Above an equal part nothing more is taken, but what others leave idle may be kept.
    const target = Math.min(request.wanted[field], free, Math.max(equal, held));
    return Math.max(target, Math.min(held, request.charged[field]));
  };
  return {
    processors: part('processors'),
    memoryMb: part('memoryMb'),
    accelerators: part('accelerators'),
  };
}
