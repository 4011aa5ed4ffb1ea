export { ABSENT_EXPIRY_MS, GRANT_IDLE_MS, GRANT_ROUND_MS, RECLAIM_AFTER_MS } from './constants.js';
export * from './grant-ledger.js';
export * from './policy.js';
export * from './rows.js';
export * from './types.js';
