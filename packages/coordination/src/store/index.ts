export * from './merge-snapshots.js';
export * from './memory-table-store.js';
export * from './table-state.js';
export * from './types.js';
