export * from './entry.js';
export * from './platform.js';
