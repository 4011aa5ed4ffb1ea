import type { Incarnation, MemberId, Millis } from '@turmerichoist/core';
import type { Holders } from './holders.js';
import type { GrantPolicy, PolicyInput } from './policy.js';
import {
  grantedUnits,
  raiseCeiling,
  unitsOf,
  withDeclared,
  withLimitInForce,
  withUnits,
  type DeclaredLimit,
  type Grant,
  type QuotaRow,
} from './rows.js';
import type { TeamAccount } from './team-account.js';

/** Period of reading a row whose lower limit is not in force yet. */
const LIMIT_POLL_MS: Millis = 1_000;

/** What planning needs to know besides the team's account. */
export interface PlanContext {
  readonly self: MemberId;
  readonly incarnation: Incarnation;
  /** Own former incarnations of this process whose work is known to be counted in the demand. */
  readonly adoptable: ReadonlySet<Incarnation>;
  readonly appliedSerial: number;
  readonly declared: DeclaredLimit | undefined;
  readonly wants: ReadonlyMap<MemberId, number>;
  readonly stopping: boolean;
  readonly holders: Holders;
  readonly policy: GrantPolicy;
  readonly now: Millis;
}

/** A changed row, to be written on the version of the account. */
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

/** Units that this entry should hold by the latest row that it knows. */
export function targetUnits(account: TeamAccount, context: PlanContext): number {
  const row = withDeclared(account.row(context.declared), context.declared);
  return context.declared === undefined
    ? 0
    : Math.max(0, context.policy.target(policyInput(account, row, context)));
}

function isAdoptable(grant: Grant, context: PlanContext): boolean {
  return grant.member === context.self && context.adoptable.has(grant.incarnation);
}

/** Without grants whose work has ended for sure, and without own ones to be granted anew. */
function withoutReleased(row: QuotaRow, context: PlanContext): QuotaRow {
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
    const room = Math.max(0, raiseCeiling(row) - grantedUnits(row));
    return held + Math.min(room, target - held);
  }
  account.shrinkTo(target);
  return account.shrinkApplied(context.appliedSerial)
    ? Math.min(held, Math.max(target, account.demand.running))
    : held;
}

/** Own work that former incarnations of this process were granted units for. */
function adoptedUnits(account: TeamAccount, row: QuotaRow, context: PlanContext): number {
  const former = row.grants
    .filter((grant) => isAdoptable(grant, context))
    .reduce((sum, { units }) => sum + units, 0);
  return Math.min(former, account.demand.running);
}

/** The next row of a team, or undefined when nothing is to be changed. */
export function planTeam(account: TeamAccount, context: PlanContext): TeamPlan | undefined {
  const { self: member, incarnation, declared } = context;
  const before = account.row(declared);
  const current = withoutReleased(withDeclared(before, declared), context);
  const adopted = adoptedUnits(account, before, context);
  const units = Math.max(nextUnits(account, current, context), adopted);
  const row = withLimitInForce(withUnits(current, { member, incarnation, units }));
  // A declared team gets its row before its first use, so that its limit is known to be in force.
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

/** True when the team's row should be read and perhaps changed. */
export function needsAttention(account: TeamAccount, context: PlanContext): boolean {
  const { self, incarnation, declared, appliedSerial } = context;
  const held = account.held(self, incarnation);
  const target = targetUnits(account, context);
  if (!account.known) {
    return target > 0 || declared !== undefined;
  }
  const row = account.row(declared);
  const lower = account.shrinkApplied(appliedSerial)
    ? Math.max(account.shrink?.units ?? held, account.demand.running)
    : held;
  const waits = row.nextLimit !== undefined && context.now - account.plannedAt >= LIMIT_POLL_MS;
  const behind = (declared?.revision ?? 0) > row.revision || waits;
  return (
    account.inDoubt ||
    target > held ||
    lower < held ||
    behind ||
    row.grants.some((grant) => isAdoptable(grant, context))
  );
}
