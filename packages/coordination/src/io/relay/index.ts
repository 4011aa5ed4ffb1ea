export * from './member-directory.js';
export * from './relay-client.js';
export * from './relay-heartbeat.js';
export * from './relay-links.js';
export * from './relay-server.js';
export * from './start-relay.js';
export * from './store-router.js';
