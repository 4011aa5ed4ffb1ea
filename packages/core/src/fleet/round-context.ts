import type { Millis, PoolName } from '../types/index.js';
import type { BudgetLedger } from './budget-ledger.js';
import type { FleetView } from './fleet-view.js';
import type { RowBatch } from './row-batch.js';
import type { Fence } from './rows.js';
import type { WaitBook } from './wait-reasons.js';

/** What one planning round for one owned role works with. */
export interface RoundContext {
  readonly now: Millis;
  readonly wallMs: Millis;
  /** The owned pool. */
  readonly role: PoolName;
  readonly fence: Fence;
  readonly view: FleetView;
  readonly ledger: BudgetLedger;
  readonly batch: RowBatch;
  readonly waits: WaitBook;
}
