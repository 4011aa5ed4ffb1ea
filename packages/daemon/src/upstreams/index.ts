export * from './headers.js';
export * from './messages.js';
export * from './upstream-pool.js';
