export * from './wire.js';
export * from './worker-client.js';
