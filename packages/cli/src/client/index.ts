export * from './api-client.js';
export * from './exit-codes.js';
