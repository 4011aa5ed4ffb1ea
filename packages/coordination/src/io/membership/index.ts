export * from './membership-tracker.js';
