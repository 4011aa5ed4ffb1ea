export * from './demo-system.js';
