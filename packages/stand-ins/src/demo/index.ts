export * from './small-system.js';
