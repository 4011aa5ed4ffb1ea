export * from './entry.js';
export * from './entry-options.js';
export * from './platform.js';
