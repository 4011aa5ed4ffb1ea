export * from './messages.js';
export * from './model.js';
