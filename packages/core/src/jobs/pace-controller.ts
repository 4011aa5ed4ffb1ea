import type { Millis } from '../types/index.js';
import type { JobDecision } from './messages.js';
import type { Run, RunTable } from './run-table.js';
import type { ExecutorId } from './model.js';

/** Ratio of tail latency to target above which best-effort tasks beside it are slowed down. */
const SLOW_DOWN_RATIO = 0.85;
/** Ratio of tail latency to target below which they are sped up again. */
const SPEED_UP_RATIO = 0.6;
const SLOW_DOWN_FACTOR = 0.5;
const SPEED_UP_PERCENT = 15;
/** Below this pace, in percent, a task is paused. */
const MIN_PERCENT = 15;
const FULL_PERCENT = 100;
/** The gauge covers half a second, so a change of pace shows in it after that time. */
const MIN_CHANGE_INTERVAL_MS: Millis = 700;

/**
 * Slows down best-effort tasks (`fills`) while a serving task on the same executor is close to or
 * above its latency target, and speeds them up again afterwards.
 */
export class PaceController {
  readonly #runs: RunTable;
  readonly #changedAt = new Map<ExecutorId, Millis>();

  constructor(runs: RunTable) {
    this.#runs = runs;
  }

  /** Adjusts the pace of an executor's best-effort tasks after a report. */
  onReport(executor: ExecutorId, now: Millis): readonly JobDecision[] {
    const runs = this.#runs.at(executor);
    const bestEffort = runs.filter((run) => run.fills && run.phase === 'running');
    const last = this.#changedAt.get(executor) ?? -Infinity;
    if (bestEffort.length === 0 || now - last < MIN_CHANGE_INTERVAL_MS) {
      return [];
    }
    const serving = runs.filter((run) => run.targetMs > 0 && !run.fills && run.gauge > 0);
    const highestRatio = Math.max(0, ...serving.map(({ gauge, targetMs }) => gauge / targetMs));
    const changes = bestEffort
      .map((run) => ({ run, percent: nextPercent(run.pace, highestRatio) }))
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

function nextPercent(pace: number, highestRatio: number): number {
  if (highestRatio > SLOW_DOWN_RATIO) {
    const slower = Math.floor(pace * SLOW_DOWN_FACTOR);
    return slower < MIN_PERCENT ? 0 : slower;
  }
  if (highestRatio < SPEED_UP_RATIO) {
    return Math.min(FULL_PERCENT, pace + SPEED_UP_PERCENT);
  }
  return pace;
}
