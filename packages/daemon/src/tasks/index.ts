export * from './allowance-manager.js';
export * from './messages.js';
export * from './task-api.js';
export * from './task-log.js';
export * from './task-owner.js';
export * from './task-requests.js';
export * from './pool-owners.js';
export * from './task-router.js';
