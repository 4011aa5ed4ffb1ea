export * from './platform/index.js';
