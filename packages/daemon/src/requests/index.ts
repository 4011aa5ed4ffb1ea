export * from './arrival.js';
export * from './dispatcher.js';
export * from './front.js';
export * from './request-path.js';
