export * from './caller-limits.js';
export * from './connection-table.js';
export * from './json-shape.js';
export * from './memory-budget.js';
export * from './process-bounds.js';
