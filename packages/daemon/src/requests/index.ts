export * from './caller-fields.js';
export * from './dispatcher.js';
export * from './frontend.js';
export * from './request-pipeline.js';
