export { ExecutorLinks, type ExecutorLinksOptions } from './executor-links.js';
export { JobCell, type JobCellOptions } from './job-cell.js';
export * from './ports.js';
