export * from './configuration.js';
export * from './documents.js';
export * from './references.js';
export * from './schemas.js';
