export * from './store/index.js';
export * from './state/peers/index.js';
export * from './state/membership/index.js';
export * from './io/peers/index.js';
export * from './io/membership/index.js';
export * from './state/quota/index.js';
export * from './io/quota/index.js';
