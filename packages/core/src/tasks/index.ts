export { type TaskExplanation, type TeamExplanation } from './wait-explainer.js';
export { LEASE_TTL_MS, RENEW_INTERVAL_MS, SEND_WINDOW_MS } from './lease-timing.js';
export { TASK_BATCH_MAX_EVENTS, TASK_BATCH_INTERVAL_MS } from './append-queue.js';
export * from './messages.js';
export * from './model.js';
export { TaskDecider } from './task-decider.js';
export { TaskStore } from './task-store.js';
export { UsageEstimator } from './usage-estimator.js';
export * from './allowance.js';
