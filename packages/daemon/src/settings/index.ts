export * from './parse.js';
export * from './schema.js';
