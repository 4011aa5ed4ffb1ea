import type { Millis, PoolName } from '../types/index.js';

/** Load of one pool that may borrow instances. */
export interface PoolLoad {
  readonly pool: PoolName;
  /** Declared size: the instances that belong to the pool when it borrows none. */
  readonly size: number;
  /** Instances that it has now, borrowed ones included. */
  readonly instances: number;
  /** Running and waiting work, in instances. */
  readonly demand: number;
}

/** Decides how many instances each pool should have. Does not say which, nor whether budgets allow. */
export interface PoolPlanner {
  /**
   * Called regularly with the load of every borrowing pool.
   * The targets sum up to no more than the sizes plus `spare`.
   */
  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number>;
}

/** Shares whole spare instances in proportion to what each pool wants, none beyond its want. */
export function shareSpare(
  wants: ReadonlyMap<PoolName, number>,
  spare: number,
): ReadonlyMap<PoolName, number> {
  const total = [...wants.values()].reduce((sum, want) => sum + want, 0);
  if (total <= spare) {
    return wants;
  }
  const exact = [...wants].map(([pool, want]) => ({ pool, part: (want * spare) / total }));
  const shares = new Map(exact.map(({ pool, part }) => [pool, Math.floor(part)]));
  let left = spare - [...shares.values()].reduce((sum, share) => sum + share, 0);
  const byRest = exact.sort((a, b) => rest(b.part) - rest(a.part) || (a.pool < b.pool ? -1 : 1));
  for (const { pool } of byRest) {
    if (left > 0) {
      shares.set(pool, (shares.get(pool) ?? 0) + 1);
      left -= 1;
    }
  }
  return shares;
}

function rest(part: number): number {
  return part - Math.floor(part);
}
