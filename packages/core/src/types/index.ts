export * from './clock.js';
export * from './decider.js';
export * from './endpoint.js';
export * from './ids.js';
export * from './random.js';
export * from './seeded-random.js';
