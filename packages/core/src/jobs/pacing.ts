import type { Millis } from '../types/index.js';
import type { JobDecision } from './messages.js';
import type { Run, RunTable } from './run-table.js';
import type { ExecutorId } from './model.js';

/** Share of a task's target at which the tasks that fill beside it are slowed down. */
const SLOW_DOWN_SHARE = 0.85;
/** Share of the target below which they are sped up again. */
const SPEED_UP_SHARE = 0.6;
const SLOW_DOWN_FACTOR = 0.5;
const SPEED_UP_PERCENT = 15;
/** Below this share, in percent, a paced task is stopped altogether. */
const MIN_PERCENT = 15;
const FULL_PERCENT = 100;
/** The gauge covers half a second, so a change shows in it after that time. */
const CHANGE_PERIOD_MS: Millis = 700;

/** Slows down tasks that fill where a task beside them serves its users too slowly. */
export class Pacing {
  readonly #runs: RunTable;
  readonly #changedAt = new Map<ExecutorId, Millis>();

  constructor(runs: RunTable) {
    this.#runs = runs;
  }

  /** Called when an executor has reported. */
  reported(executor: ExecutorId, now: Millis): readonly JobDecision[] {
    const runs = this.#runs.at(executor);
    const serving = runs.filter((run) => run.targetMs > 0 && !run.fills && run.gauge > 0);
    const filling = runs.filter((run) => run.fills && run.phase === 'running');
    const last = this.#changedAt.get(executor) ?? -Infinity;
    if (filling.length === 0 || now - last < CHANGE_PERIOD_MS) {
      return [];
    }
    const worst = Math.max(0, ...serving.map(({ gauge, targetMs }) => gauge / targetMs));
    const changes = filling
      .map((run) => ({ run, percent: nextPercent(run.pace, worst) }))
      .filter(({ run, percent }) => percent !== run.pace);
    if (changes.length > 0) {
      this.#changedAt.set(executor, now);
    }
    return changes.map(({ run, percent }) => this.#pace(run, percent));
  }

  #pace(run: Run, percent: number): JobDecision {
    this.#runs.update(run, { pace: percent });
    const { executor, task, attempt } = run;
    return { type: 'pace', executor, task, attempt, percent };
  }
}

function nextPercent(pace: number, worst: number): number {
  if (worst > SLOW_DOWN_SHARE) {
    const slower = Math.floor(pace * SLOW_DOWN_FACTOR);
    return slower < MIN_PERCENT ? 0 : slower;
  }
  if (worst < SPEED_UP_SHARE) {
    return Math.min(FULL_PERCENT, pace + SPEED_UP_PERCENT);
  }
  return pace;
}
