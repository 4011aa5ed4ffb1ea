export * from './check-files.js';
export * from './render-report.js';
export * from './report.js';
export * from './version-in-force.js';
