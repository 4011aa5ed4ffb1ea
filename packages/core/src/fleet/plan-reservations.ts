import type { Millis } from '../types/index.js';
import { namesOf, poolsOf, type PlanGroup } from './plan-groups.js';
import type { RoundContext } from './round-context.js';
import type { BudgetRow, Cause } from './rows.js';

/**
 * Time after which a group that needs several units reserves them. Disruptions that need fewer
 * units would otherwise starve it.
 */
export const RESERVE_AFTER_MS = 60_000;

export interface WaitingGroup {
  readonly group: PlanGroup;
  readonly cause: Cause;
  /** Time since which its budgets have been insufficient. */
  readonly since: Millis;
}

/**
 * Reserves all pools of a group that has waited too long, or none. Reservations are made together,
 * and at most one group holds each pool, so groups can't deadlock on each other's reservations.
 */
export function reserveIfStarved(
  { group, cause, since }: WaitingGroup,
  context: RoundContext,
): boolean {
  const { batch, now, fence } = context;
  const pools = poolsOf(group.instances);
  // Single-instance groups don't reserve. Their plan would pass the reservation from one instance
  // to the next without a gap.
  const isShared = group.instances.length > 1;
  if (!isShared || now - since < RESERVE_AFTER_MS || !canFit(group, context)) {
    return false;
  }
  return batch.tryReserve(pools, { ...fence, cause, group: group.name });
}

/** Drops reservations of a cause for groups that no longer wait or currently can't fit. */
export function dropStaleReservations(
  cause: Cause,
  waiting: readonly PlanGroup[],
  context: RoundContext,
): void {
  const { batch, view, role } = context;
  const servable = new Set(
    waiting.filter((group) => canFit(group, context)).map(({ name }) => name),
  );
  for (const pool of view.pools()) {
    const { reserved } = batch.budget(pool);
    const isOwn = reserved?.cause === cause && reserved.role === role;
    if (isOwn && !servable.has(reserved.group)) {
      batch.editBudget(pool, withoutReservation);
    }
  }
}

/** False while failures and disruptions of indefinite length use up the budget the group needs. */
function canFit(group: PlanGroup, { batch, ledger }: RoundContext): boolean {
  return poolsOf(group.instances).every((pool) => {
    const names = namesOf(group.instances.filter((each) => each.spec.pool === pool));
    return ledger.lastingShortage(pool, names, batch.budget(pool)) === undefined;
  });
}

function withoutReservation(row: BudgetRow): BudgetRow {
  const { taken, requested, ramps } = row;
  return { taken, requested, ramps };
}
