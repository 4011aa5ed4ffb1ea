export { JobCell, type JobCellOptions } from './job-cell.js';
export * from './ports.js';
