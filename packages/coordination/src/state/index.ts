export * from './audit-record.js';
export * from './call-gate.js';
export * from './canonical-json.js';
export * from './config-freshness.js';
export * from './config-log.js';
export * from './config-replica.js';
export * from './session.js';
export * from './txn-lane.js';
