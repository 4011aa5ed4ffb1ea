export * from './command.js';
export * from './faults.js';
export * from './server.js';
export * from './worker-model.js';
export * from './task-fleet.js';
