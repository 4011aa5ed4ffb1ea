import type { Millis, PoolName } from '../types/index.js';

/** Size and demand of one pool that may borrow instances. */
export interface PoolLoad {
  readonly pool: PoolName;
  /** Declared size: number of instances in the pool when it borrows none. */
  readonly size: number;
  /** Current number of instances, including borrowed ones. */
  readonly instances: number;
  /** Running and waiting work, as the number of instances it occupies. */
  readonly demand: number;
}

/** Decides how many instances each pool should have, without choosing them or checking budgets. */
export interface PoolPlanner {
  /**
   * Called regularly with the load of every borrowing pool.
   * The targets sum up to no more than the sizes plus `spare`.
   */
  targets(loads: readonly PoolLoad[], spare: number, now: Millis): ReadonlyMap<PoolName, number>;
}

/** Divides whole spare instances in proportion to what each pool wants, with that as its limit. */
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
  const byFraction = exact.sort(
    (a, b) => fractionOf(b.part) - fractionOf(a.part) || (a.pool < b.pool ? -1 : 1),
  );
  for (const { pool } of byFraction) {
    if (left > 0) {
      shares.set(pool, (shares.get(pool) ?? 0) + 1);
      left -= 1;
    }
  }
  return shares;
}

function fractionOf(part: number): number {
  return part - Math.floor(part);
}
