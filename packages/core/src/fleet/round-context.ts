import type { Millis, PoolName } from '../types/index.js';
import type { BudgetLedger } from './budget-ledger.js';
import type { FleetView } from './fleet-view.js';
import type { RowBatch } from './row-batch.js';
import type { OwnerFence } from './rows.js';
import type { WaitTracker } from './wait-reasons.js';

/** Inputs and outputs of one planning round for one owned role. */
export interface RoundContext {
  readonly now: Millis;
  readonly wallMs: Millis;
  /** The owned pool. */
  readonly role: PoolName;
  readonly fence: OwnerFence;
  readonly view: FleetView;
  readonly ledger: BudgetLedger;
  readonly batch: RowBatch;
  readonly waits: WaitTracker;
}
