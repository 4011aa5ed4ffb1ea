import type { ExecutorTable } from './executor-table.js';
import type { JobTable } from './job-table.js';
import type { RunTable } from './run-table.js';
import type { SchedulingAgenda } from './scheduling-agenda.js';
import type { TaskDurations } from './task-durations.js';

/** State that the components of a cell's decider share. */
export interface CellTables {
  readonly jobs: JobTable;
  readonly runs: RunTable;
  readonly executors: ExecutorTable;
  readonly durations: TaskDurations;
  readonly agenda: SchedulingAgenda;
}
