export * from './admission.js';
export {
  AnnouncedOrders,
  ORDER_SETTLE_MS,
  type AnnouncedOrdersOptions,
  type OrdersRecord,
} from './announced-orders.js';
export { ExpectedStarts } from './expected-starts.js';
export { ExecutorClock, type CallTimes } from './executor-clock.js';
export type { ExecutorState } from './executor-table.js';
export { Job } from './job.js';
export { JobDecider, type JobDeciderOptions } from './job-decider.js';
export * from './directory.js';
export type { LeaseBounds } from './lease-expiry.js';
export type { WaitingInstance } from './maintenance.js';
export * from './messages.js';
export * from './model.js';
export { OrderHandover, type HeldInstance } from './order-handover.js';
export {
  LeastWorkFirst,
  remainingWork,
  objectiveAt,
  type JobOrdering,
  type Lateness,
  type RankedJob,
} from './ordering.js';
export type { ExecutorCounts, CellPoolLoad, CellPoolLoadView } from './pool-load.js';
export type { RecoverySummary } from './recovery.js';
export { TaskDurations } from './task-durations.js';
export type { WorkAheadLane } from './work-ahead.js';
