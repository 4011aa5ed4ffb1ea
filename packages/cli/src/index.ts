export * from './client/index.js';
export * from './config-check/index.js';
export * from './documents/index.js';
export * from './output/index.js';
