export * from './api/index.js';
export * from './http/index.js';
export * from './requests/index.js';
export * from './settings/index.js';
export * from './upstreams/index.js';
export * from './workers/index.js';
