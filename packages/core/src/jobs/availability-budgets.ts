import type { Millis } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import type { ExecutorId } from './model.js';
import type { Run } from './run-table.js';

const READY_PERCENT = 100;

/** A lasting step whose `maxUnavailable` does not allow all its runs on an instance to end. */
export interface BlockedStep {
  readonly step: string;
  /** The step's runs on the instance. */
  readonly runs: readonly Run[];
  /** Number of the step's tasks elsewhere that are not ready. */
  readonly unavailable: number;
  readonly budget: number;
}

/** The availability budgets of lasting steps, which planned work must not exceed. */
export class AvailabilityBudgets {
  readonly #tables: CellTables;
  readonly #isHealthy: (executor: ExecutorId, now: Millis) => boolean;

  /** `isHealthy`: whether an executor's tasks count as available when they are ready. */
  constructor(tables: CellTables, isHealthy: (executor: ExecutorId, now: Millis) => boolean) {
    this.#tables = tables;
    this.#isHealthy = isHealthy;
  }

  /** The first lasting step whose budget does not allow all these runs to end at once. */
  blockedStep(runs: readonly Run[], now: Millis): BlockedStep | undefined {
    const steps = new Map<string, Run[]>();
    for (const run of runs) {
      // Counts runs that were last reported as not ready, too, since they may be ready by now.
      if (run.lasting) {
        const { jobId, occurrence, step } = run.task;
        const key = `${jobId}.${occurrence}.${step}`;
        steps.set(key, [...(steps.get(key) ?? []), run]);
      }
    }
    const leaving = new Set(runs.map(({ executor }) => executor));
    for (const [step, ofStep] of steps) {
      const spec =
        ofStep[0] === undefined ? undefined : this.#tables.jobs.step(ofStep[0].task)?.spec;
      const budget = Math.max(1, spec?.maxUnavailable ?? 1);
      const unavailable = this.#unavailableElsewhere(ofStep, spec?.taskCount ?? 0, leaving, now);
      if (unavailable + ofStep.length > budget) {
        return { step, runs: ofStep, unavailable, budget };
      }
    }
    return undefined;
  }

  /** Number of tasks of the runs' step that are not ready, without those on `leaving` executors. */
  #unavailableElsewhere(
    runs: readonly Run[],
    taskCount: number,
    leaving: ReadonlySet<ExecutorId>,
    now: Millis,
  ): number {
    const task = runs[0]?.task;
    const siblings = this.#tables.runs
      .ofJob(task?.jobId ?? '')
      .filter((run) => run.task.occurrence === task?.occurrence && run.task.step === task.step);
    const available = siblings.filter(
      (one) => !leaving.has(one.executor) && isReady(one) && this.#isHealthy(one.executor, now),
    );
    return taskCount - runs.length - available.length;
  }
}

/** One of several runs of the step that the budget allows to stop, to restart elsewhere. */
export function evictableRun({ runs, unavailable, budget }: BlockedStep): Run | undefined {
  if (runs.length < 2 || runs.some(({ phase }) => phase === 'stopping')) {
    return undefined;
  }
  const chosen = runs.find((run) => !isReady(run)) ?? runs[0];
  const others = runs.filter((run) => run !== chosen && !isReady(run)).length;
  return unavailable + others < budget ? chosen : undefined;
}

function isReady(run: Run): boolean {
  return run.phase === 'running' && run.percent >= READY_PERCENT;
}
