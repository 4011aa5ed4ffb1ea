export * from './body-reader.js';
export * from './early-response.js';
export * from './guarded-server.js';
export * from './listener-guard.js';
