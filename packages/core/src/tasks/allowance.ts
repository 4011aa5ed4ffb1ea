import type { PoolName } from '../types/index.js';
import type { Resources } from './model.js';

/** Parts of a team's upper limit, by the pool that may use them. Their sum is within the limit. */
export type AllowanceRow = ReadonlyMap<PoolName, Resources>;

export interface AllowanceRequest {
  readonly pool: PoolName;
  /** What the pool's leases of this team count. It can't be given back. */
  readonly charged: Resources;
  /** What the pool's waiting work of this team would use on top. */
  readonly waiting: Resources;
}

const FIELDS = ['processors', 'memoryMb', 'accelerators'] as const;

type Field = (typeof FIELDS)[number];

export const NO_RESOURCES: Resources = { processors: 0, memoryMb: 0, accelerators: 0 };

function eachField(value: (field: Field) => number): Resources {
  return {
    processors: value('processors'),
    memoryMb: value('memoryMb'),
    accelerators: value('accelerators'),
  };
}

/**
 * The part that a pool should hold: what it needs, as far as the limit leaves it. The part of a
 * pool belongs to the pool and not to its owner, so a new owner goes on with it.
 */
export function planAllowance(
  row: AllowanceRow,
  limit: Resources,
  request: AllowanceRequest,
): Resources {
  const held = row.get(request.pool) ?? NO_RESOURCES;
  const others = (field: Field): number =>
    [...row].reduce((sum, [pool, part]) => sum + (pool === request.pool ? 0 : part[field]), 0);
  return eachField((field) => {
    const needed = request.charged[field] + request.waiting[field];
    const free = Math.max(0, limit[field] - others(field));
    // A part is never cut below what runs, nor raised above what the limit leaves.
    return Math.max(Math.min(needed, free), Math.min(held[field], request.charged[field]));
  });
}

/** Whether two amounts are the same. */
export function sameResources(a: Resources, b: Resources): boolean {
  return FIELDS.every((field) => a[field] === b[field]);
}
