export * from './call-gate.js';
export * from './session.js';
export * from './txn-lane.js';
