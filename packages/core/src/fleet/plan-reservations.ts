import type { Millis } from '../types/index.js';
import { namesOf, poolsOf, type PlanGroup } from './plan-groups.js';
import type { RoundContext } from './round-context.js';
import type { BudgetRow, Cause } from './rows.js';

/**
 * Time after which a group that needs several units reserves them. Shorter disruptions that need
 * fewer units would otherwise pass it for ever.
 */
export const RESERVE_AFTER_MS = 60_000;

export interface ShortGroup {
  readonly group: PlanGroup;
  readonly cause: Cause;
  /** When its budgets were first found short. */
  readonly since: Millis;
}

/**
 * Reserves all pools of a group that has waited too long, or none. Reservations are taken together,
 * and at most one group holds each pool, so two groups never wait for each other's reservation.
 */
export function reserveFor({ group, cause, since }: ShortGroup, context: RoundContext): boolean {
  const { batch, now, fence } = context;
  const pools = poolsOf(group.instances);
  // A plan of single instances would pass its reservation on from one to the next without a gap.
  const isShared = group.instances.length > 1;
  if (!isShared || now - since < RESERVE_AFTER_MS || !canFit(group, context)) {
    return false;
  }
  return batch.tryReserve(pools, { ...fence, cause, group: group.name });
}

/** Gives up reservations of a cause for groups that no longer wait or can't be served for now. */
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

/** False while failures and acts without an end use up what the group needs. */
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
