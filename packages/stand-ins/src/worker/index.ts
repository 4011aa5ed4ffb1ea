export * from './command.js';
export type { WorkerFaults } from './faults.js';
export * from './server.js';
export * from './worker-model.js';
export * from './task-fleet-simulation.js';
