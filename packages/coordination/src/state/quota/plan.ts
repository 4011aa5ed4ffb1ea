import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { GrantHolders } from './holders.js';
import type { GrantPolicy, PolicyInput } from './policy.js';
import {
  grantedUnits,
  maxGrantedUnits,
  unitsOf,
  withDeclared,
  withLimitInForce,
  withUnits,
  type DeclaredLimit,
  type Grant,
  type QuotaRow,
} from './rows.js';
import type { TeamAccount } from './team-account.js';

/** Interval at which a row is read while its lower limit is not in force yet. */
const LOWER_LIMIT_POLL_MS: Millis = 1_000;

/** Input to planning besides the team's account. */
export interface PlanContext {
  readonly self: MemberId;
  readonly incarnation: Incarnation;
  /** Former incarnations of this process whose work is known to be included in the demand. */
  readonly adoptable: ReadonlySet<Incarnation>;
  readonly appliedSerial: number;
  readonly declared: DeclaredLimit | undefined;
  readonly wants: ReadonlyMap<MemberId, number>;
  readonly stopping: boolean;
  readonly holders: GrantHolders;
  readonly policy: GrantPolicy;
  readonly now: Millis;
}

/** A changed row, to be written if the stored row still has the version of the account. */
export interface TeamPlan {
  readonly row: QuotaRow;
  readonly units: number;
}

function policyInput(account: TeamAccount, row: QuotaRow, context: PlanContext): PolicyInput {
  const { running, waiting } = account.demand;
  return {
    running,
    waiting,
    peak: account.peak(context.now),
    held: unitsOf(row, context.self, context.incarnation),
    row,
    self: context.self,
    wants: context.wants,
    stopping: context.stopping,
    now: context.now,
  };
}

/** Units that this member should hold, given the latest row that it has read. */
export function targetUnits(account: TeamAccount, context: PlanContext): number {
  const row = withDeclared(account.row(context.declared), context.declared);
  return context.declared === undefined
    ? 0
    : Math.max(0, context.policy.target(policyInput(account, row, context)));
}

function isAdoptable(grant: Grant, context: PlanContext): boolean {
  return grant.member === context.self && context.adoptable.has(grant.incarnation);
}

/** Removes reclaimable grants, and adoptable ones, which are granted again to this incarnation. */
function withoutEndedGrants(row: QuotaRow, context: PlanContext): QuotaRow {
  const grants = row.grants.filter(
    (grant) => !context.holders.isReclaimable(grant, context.now) && !isAdoptable(grant, context),
  );
  return { ...row, grants };
}

function nextUnits(account: TeamAccount, row: QuotaRow, context: PlanContext): number {
  const held = unitsOf(row, context.self, context.incarnation);
  const target = targetUnits(account, context);
  if (target >= held) {
    account.cancelShrink();
    const headroom = Math.max(0, maxGrantedUnits(row) - grantedUnits(row));
    return held + Math.min(headroom, target - held);
  }
  account.shrinkTo(target);
  return account.shrinkApplied(context.appliedSerial)
    ? Math.min(held, Math.max(target, account.demand.running))
    : held;
}

/** Units of former incarnations of this process that its running work still needs. */
function adoptedUnits(account: TeamAccount, row: QuotaRow, context: PlanContext): number {
  const former = row.grants
    .filter((grant) => isAdoptable(grant, context))
    .reduce((sum, { units }) => sum + units, 0);
  return Math.min(former, account.demand.running);
}

/** Computes the next row of a team; undefined when nothing changes. */
export function planTeam(account: TeamAccount, context: PlanContext): TeamPlan | undefined {
  const { self: member, incarnation, declared } = context;
  const before = account.row(declared);
  const current = withoutEndedGrants(withDeclared(before, declared), context);
  const adopted = adoptedUnits(account, before, context);
  const units = Math.max(nextUnits(account, current, context), adopted);
  const row = withLimitInForce(withUnits(current, { member, incarnation, units }));
  // A declared team gets a row before its first use, so that its limit is known to be in force.
  const absent = account.version === 0 && declared !== undefined;
  const unchanged =
    !absent &&
    row.limit === before.limit &&
    row.nextLimit === before.nextLimit &&
    row.revision === before.revision &&
    row.grants.length === before.grants.length &&
    unitsOf(row, member, incarnation) === unitsOf(before, member, incarnation);
  return unchanged ? undefined : { row, units };
}

/** Whether the team's row should be read and possibly changed. */
export function shouldReadRow(account: TeamAccount, context: PlanContext): boolean {
  const { self, incarnation, declared, appliedSerial } = context;
  const held = account.held(self, incarnation);
  const target = targetUnits(account, context);
  if (!account.known) {
    return target > 0 || declared !== undefined;
  }
  const row = account.row(declared);
  const loweredUnits = account.shrinkApplied(appliedSerial)
    ? Math.max(account.shrink?.units ?? held, account.demand.running)
    : held;
  const waits =
    row.nextLimit !== undefined && context.now - account.lastPlannedAt >= LOWER_LIMIT_POLL_MS;
  const behind = (declared?.revision ?? 0) > row.revision || waits;
  return (
    account.inDoubt ||
    target > held ||
    loweredUnits < held ||
    behind ||
    row.grants.some((grant) => isAdoptable(grant, context))
  );
}
