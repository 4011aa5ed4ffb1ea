export * from './check-configuration.js';
export * from './configuration-rule.js';
export * from './differences.js';
export * from './effect-rule.js';
export * from './effects.js';
export * from './finding.js';
