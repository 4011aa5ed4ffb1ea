export * from './membership.js';
export * from './outage.js';
export * from './types.js';
