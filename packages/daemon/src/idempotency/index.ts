export * from './idempotency-gate.js';
