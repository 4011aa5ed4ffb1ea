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
export { deferrableUntil } from './maintenance-window.js';
export type { WaitingInstance } from './maintenance-action.js';
export * from './messages.js';
export * from './model.js';
export {
  MAX_START_WAIT_MS,
  OrderBacklog,
  type NextOrder,
  type PaceOrder,
  type StartOrder,
  type StopOrder,
  type WaitingStart,
} from './order-backlog.js';
export { OrderHandover, type HeldInstance } from './order-handover.js';
export {
  LeastWorkFirst,
  remainingWork,
  objectiveAt,
  withShare,
  type JobOrdering,
  type JobValue,
  type Lateness,
  type RankedJob,
  type ServiceRank,
} from './ordering.js';
export type {
  ExecutorCounts,
  CellPoolLoad,
  CellPoolLoadView,
  PoolSharesLoad,
} from './pool-load.js';
export type { RecoverySummary } from './recovery.js';
export type { ReservationChange, ReservationEndReason } from './reservations.js';
export { RESERVATION_TIMEOUT_MS, RESERVED_SHARE, REVIEW_PERIOD_MS } from './pool-reservations.js';
export {
  TeamShares,
  type PoolUse,
  type ShareStanding,
  type TeamStanding,
  type WaitingWork,
} from './team-shares.js';
export { TaskDurations } from './task-durations.js';
export type { SizedStart, WorkAheadLane } from './work-ahead.js';
