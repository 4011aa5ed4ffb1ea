export * from './checks/index.js';
export * from './errors/index.js';
export * from './fleet/index.js';
export * from './jobs/index.js';
export * from './requests/index.js';
export * from './resources/index.js';
export * from './tasks/index.js';
export * from './types/index.js';
