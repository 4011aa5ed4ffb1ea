export * from './workers/index.js';
