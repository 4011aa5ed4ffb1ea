export * from './clean-text.js';
export * from './format.js';
