export * from './buffered-line-writer.js';
export * from './actor.js';
export * from './logger.js';
export * from './mailbox.js';
export * from './metrics.js';
export * from './prom-metrics.js';
export * from './system-clock.js';
export * from './timers.js';
