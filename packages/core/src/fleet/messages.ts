import type { Configuration } from '../resources/index.js';
import type { InstanceName, Millis, PoolName, ZoneName } from '../types/index.js';
import type { OwnerFence, FleetTransaction, StoredRow } from './rows.js';
import type { Wait } from './wait-reasons.js';

/** Running and waiting work of one pool and its capacity, in slots. */
export interface PoolDemand {
  readonly pool: PoolName;
  readonly running: number;
  readonly waiting: number;
  readonly capacity: number;
  /** Number of instances whose slots `capacity` includes. */
  readonly instances: number;
}

export type FleetEvent =
  | { readonly type: 'config-changed'; readonly cfg: Configuration }
  /** State of an instance as the platform reports it, with a lag. */
  | {
      readonly type: 'instance-seen';
      readonly instance: InstanceName;
      readonly state: 'up' | 'down' | 'rebooted';
      /** Number of boots of the instance so far. */
      readonly boot: number;
      /** True if the instance itself reports that it drains. */
      readonly draining?: boolean;
    }
  /** No work runs on the instance, and it accepts none. The fence is that of the drain command. */
  | {
      readonly type: 'drain-finished';
      readonly instance: InstanceName;
      readonly fence: OwnerFence;
    }
  | {
      readonly type: 'transaction-committed';
      readonly id: number;
      /** The written rows with their new versions. */
      readonly rows: readonly StoredRow[];
    }
  /** Nothing was written. `rows` holds the current rows. */
  | {
      readonly type: 'transaction-conflicted';
      readonly id: number;
      readonly rows: readonly StoredRow[];
    }
  /** The response was lost. One of the two events above follows when the outcome is known. */
  | { readonly type: 'transaction-unknown'; readonly id: number }
  /** Rows that other members wrote. */
  | { readonly type: 'rows-read'; readonly rows: readonly StoredRow[] }
  | { readonly type: 'demand'; readonly demand: PoolDemand }
  /** Handled by the owner of the instance's pool; ignored by other members. */
  | {
      readonly type: 'operator-drain';
      readonly instance: InstanceName;
      /** False withdraws the request and returns the instance to service. */
      readonly on: boolean;
    }
  | {
      readonly type: 'ownership-gained';
      readonly fence: OwnerFence;
      /** Every budget and plan row. */
      readonly rows: readonly StoredRow[];
    }
  | { readonly type: 'ownership-lost'; readonly role: PoolName }
  /** `wallMs` serves maintenance windows and cycles, which follow the wall clock. */
  | { readonly type: 'tick'; readonly wallMs: Millis };

export type FleetDecision =
  /** Acquires and releases budget units, and records plan progress, in one transaction. */
  | { readonly type: 'change-budget'; readonly txn: FleetTransaction }
  /** Records plan progress without changing budgets. */
  | { readonly type: 'record-progress'; readonly txn: FleetTransaction }
  /** Moves instances between pools and acquires the budget units, in one transaction. */
  | { readonly type: 'move-instances'; readonly txn: FleetTransaction }
  /** Stops (`on`) or resumes the start of work on an instance. Resuming also ends a drain. */
  | {
      readonly type: 'cordon';
      readonly instance: InstanceName;
      readonly on: boolean;
      readonly fence: OwnerFence;
    }
  | { readonly type: 'drain'; readonly instance: InstanceName; readonly fence: OwnerFence }
  /** Must be ignored by an instance whose boot count is not `boot`: it has rebooted already. */
  | {
      readonly type: 'reboot';
      readonly instance: InstanceName;
      readonly boot: number;
      readonly fence: OwnerFence;
    }
  | { readonly type: 'wait'; readonly wait: Wait };

/** Progress of taking an availability zone out of service or back in, for one pool. */
export interface ZoneProgress {
  readonly pool: PoolName;
  readonly zone: ZoneName;
  readonly state: 'leaving' | 'out' | 'returning';
  readonly instances: number;
  readonly drained: number;
  readonly opened: number;
}
