import type { PoolName } from '../types/index.js';
import { LeaseTable } from './lease-table.js';
import type { TaskLogEvent } from './model.js';
import { Outbox } from './outbox.js';
import { Placement } from './placement.js';
import { ShareLedger } from './share-ledger.js';
import { StartGate } from './start-gate.js';
import { TaskLog } from './task-log.js';
import { TeamQueues } from './team-queues.js';
import { UsageEstimator } from './usage-estimator.js';
import { WorkerHealth } from './worker-health.js';
import { WorkerTable } from './worker-table.js';

/**
 * Shared state of one owned pool, created when ownership is gained and discarded when it is lost.
 */
export interface PoolState {
  readonly gate: StartGate;
  readonly log: TaskLog;
  readonly table: WorkerTable;
  readonly ledger: ShareLedger;
  readonly queues: TeamQueues;
  readonly leaseTable: LeaseTable;
  readonly estimator: UsageEstimator;
  readonly placement: Placement;
  readonly health: WorkerHealth;
  readonly out: Outbox;
}

export function createPoolState(
  pool: PoolName,
  epoch: number,
  log: readonly TaskLogEvent[],
  nextBatch: number,
): PoolState {
  const table = new WorkerTable(pool);
  const ledger = new ShareLedger();
  const estimator = new UsageEstimator();
  return {
    gate: new StartGate(epoch),
    log: new TaskLog(epoch, log, nextBatch),
    table,
    ledger,
    queues: new TeamQueues(ledger),
    leaseTable: new LeaseTable(),
    estimator,
    placement: new Placement(table, estimator, ledger),
    health: new WorkerHealth(table),
    out: new Outbox(),
  };
}
