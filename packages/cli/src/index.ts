export * from './client/index.js';
export * from './output/index.js';
