export * from './platform/index.js';
export * from './upstream/index.js';
export * from './worker/index.js';
export * from './demo/index.js';
export * from './ports/index.js';
