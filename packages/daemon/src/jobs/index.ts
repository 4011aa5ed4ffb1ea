export { ExecutorLinks, type ExecutorLinksOptions } from './executor-links.js';
export { MAX_ORDERS_IN_FLIGHT } from './executor-orders.js';
export { ORDER_CONCURRENCY } from './instance-control.js';
export { JobCell, type JobCellOptions } from './job-cell.js';
export { INTAKE_PARTS, INTAKE_PART_NAMES, intakePartOf } from './intake.js';
export * from './ports.js';
