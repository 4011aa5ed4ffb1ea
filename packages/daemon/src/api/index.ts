export * from './configuration-access.js';
export * from './operator-api.js';
export * from './operators.js';
