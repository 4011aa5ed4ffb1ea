export * from './io/session-keeper.js';
export * from './io/store/index.js';
export * from './state/index.js';
export * from './store/index.js';
