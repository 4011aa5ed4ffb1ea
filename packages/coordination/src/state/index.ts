export * from './call-gate.js';
export * from './txn-lane.js';
