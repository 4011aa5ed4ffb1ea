import type { InstanceName, Millis, PlanName, PoolName, ZoneName } from '../types/index.js';

/** Version of a stored row; 0 means that the row is absent. */
export type RowVersion = number;

/** What makes an instance unavailable. */
export type Cause =
  'failure' | 'operator' | `plan/${PlanName}` | `move/${PoolName}` | `zone/${ZoneName}`;

/** Fencing token of a role's owner. Instances reject commands of an earlier epoch of the role. */
export interface OwnerFence {
  readonly role: PoolName;
  readonly epoch: number;
}

/** One unit of budget, held for one instance. */
export interface BudgetEntry extends OwnerFence {
  readonly instance: InstanceName;
  readonly cause: Cause;
  /** Boot count of the instance when the unit was acquired. A higher one means it has rebooted. */
  readonly boot: number;
  /** Pools whose rows hold this entry. */
  readonly pools: readonly PoolName[];
}

/** Keeps the units of a pool for one group that needs several at once, so that it can't starve. */
export interface Reservation extends OwnerFence {
  readonly cause: Cause;
  /** Name of the group within its plan. */
  readonly group: string;
}

/** Ramp of a returning availability zone: its first `opened` instances by name may start work. */
export interface ZoneRamp {
  readonly zone: ZoneName;
  readonly opened: number;
}

/** Value of `budget/<pool>`. */
export interface BudgetRow {
  readonly taken: readonly BudgetEntry[];
  /** Instances that operators asked to drain. */
  readonly requested: readonly InstanceName[];
  readonly ramps: readonly ZoneRamp[];
  readonly reserved?: Reservation;
}

export interface RemainingInstance {
  readonly instance: InstanceName;
  /** Boot count when the plan started. */
  readonly boot: number;
}

/** Value of `plan-state/<plan>`. */
export interface PlanRow {
  /** The role that leads the plan. */
  readonly role: PoolName;
  /** Selection that `remaining` was computed from. The plan restarts when the selection changes. */
  readonly selection: string;
  /** Version of the declaration that was last applied. A newer one resets `failuresAtWave`. */
  readonly declaredVersion: number;
  readonly remaining: readonly RemainingInstance[];
  readonly total: number;
  /** Counted from 1; 0 before the first wave. */
  readonly wave: number;
  /** Failed instances of the affected pools when the wave began. */
  readonly failuresAtWave: number;
  /** Wall-clock time at which the plan started, for records and for the maintenance cycle. */
  readonly startedWallMs: Millis;
}

export type RowKey = `budget/${PoolName}` | `plan-state/${PlanName}`;

export const EMPTY_BUDGET_ROW: BudgetRow = { taken: [], requested: [], ramps: [] };

export type StoredRow =
  | {
      readonly kind: 'budget';
      readonly name: PoolName;
      readonly version: RowVersion;
      readonly value: BudgetRow;
    }
  | {
      readonly kind: 'plan-state';
      readonly name: PlanName;
      readonly version: RowVersion;
      readonly value: PlanRow | null;
    };

export type RowWrite =
  | { readonly kind: 'budget'; readonly name: PoolName; readonly value: BudgetRow }
  /** Null deletes the row. */
  | { readonly kind: 'plan-state'; readonly name: PlanName; readonly value: PlanRow | null };

export function rowKey(row: { readonly kind: StoredRow['kind']; readonly name: string }): RowKey {
  return `${row.kind}/${row.name}`;
}

export interface RowCondition {
  readonly key: RowKey;
  readonly version: RowVersion;
}

/** A change of the pool in the configuration of an instance. */
export interface PoolChange {
  readonly instance: InstanceName;
  /** Configuration version of the instance that the change replaces. */
  readonly version: number;
  readonly from: PoolName;
  readonly to: PoolName;
}

/**
 * Writes that take effect atomically. The I/O layer adds the condition on `owner/<role>` and, for
 * pool changes, on the configuration's head.
 */
export interface FleetTransaction {
  /** Unique within one decider. */
  readonly id: number;
  readonly fence: OwnerFence;
  readonly conditions: readonly RowCondition[];
  readonly writes: readonly RowWrite[];
  readonly poolChanges: readonly PoolChange[];
}
