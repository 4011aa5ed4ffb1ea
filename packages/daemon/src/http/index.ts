export * from './responses.js';
export * from './http-server.js';
