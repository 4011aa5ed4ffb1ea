export * from './call-stats.js';
export * from './decode.js';
export * from './http-instance-list.js';
export * from './http-object-store.js';
export * from './http-table-store.js';
export * from './outcome-resolving-store.js';
export * from './store-contact-monitor.js';
export * from './transport.js';
