export * from './connections.js';
export * from './read-body.js';
