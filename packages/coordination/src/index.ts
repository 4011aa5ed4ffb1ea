export * from './io/session-keeper.js';
export * from './io/store/index.js';
export * from './state/index.js';
export * from './store/index.js';
export * from './state/peers/index.js';
export * from './state/membership/index.js';
export * from './io/peers/index.js';
export * from './io/membership/index.js';
