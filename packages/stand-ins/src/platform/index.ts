export * from './faults.js';
export * from './instance-list.js';
export * from './object-store.js';
export * from './server.js';
export * from './table-service.js';
