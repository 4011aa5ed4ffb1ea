export * from './fleet-links.js';
export * from './fleet-messages.js';
export * from './fleet-owner.js';
export * from './fleet-rows.js';
export * from './fleet-wait-lookup.js';
