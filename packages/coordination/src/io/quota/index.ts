export * from './grant-broker.js';
