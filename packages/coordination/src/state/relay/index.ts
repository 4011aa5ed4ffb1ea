export * from './call-budget.js';
export * from './relay-choice.js';
export * from './route-decider.js';
