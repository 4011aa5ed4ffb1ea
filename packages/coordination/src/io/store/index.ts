export * from './decode.js';
export * from './http-instance-list.js';
export * from './http-object-store.js';
export * from './http-table-store.js';
export * from './settling-store.js';
export * from './transport.js';
