export * from './app-error.js';
export * from './kinds.js';
