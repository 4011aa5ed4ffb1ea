export * from './reserved-ports.js';
