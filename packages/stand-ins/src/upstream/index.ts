export * from './faults.js';
export * from './server.js';
