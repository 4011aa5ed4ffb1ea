import type { FinishedTask, RunningTask } from './messages.js';
import type { Resources, TaskSpec } from './model.js';

/** Number of most recent runs of one team and command that are considered. */
const WINDOW_SIZE = 64;
/** Runs needed before the expected size may differ from the declared one. */
const MIN_SAMPLES = 5;
/** Quantile of usage that is taken as the expected size; the highest few runs may be outliers. */
const QUANTILE = 0.9;
/** Bounds of the expected size, as multiples of the declared size. */
const MIN_RATIO = 0.1;
const MAX_RATIO = 4;
/** Number of commands retained; the least recently learned is evicted first. */
const MAX_COMMANDS = 10_000;

/** Sliding window of ratios of used to declared amounts. */
class RatioWindow {
  readonly #values: number[] = [];
  #next = 0;
  #quantile: number | undefined;

  add(value: number): void {
    this.#values[this.#next] = value;
    this.#next = (this.#next + 1) % WINDOW_SIZE;
    this.#quantile = undefined;
  }

  get ratio(): number {
    if (this.#values.length < MIN_SAMPLES) {
      return 1;
    }
    this.#quantile ??= this.#compute();
    return this.#quantile;
  }

  #compute(): number {
    const sorted = this.#values.toSorted((a, b) => a - b);
    const value = sorted[Math.ceil(sorted.length * QUANTILE) - 1] ?? 1;
    return Math.min(MAX_RATIO, Math.max(MIN_RATIO, value));
  }
}

interface CommandUsage {
  readonly processors: RatioWindow;
  readonly memoryMb: RatioWindow;
}

/**
 * Team and first word of the command. Runs with the same key are expected to use similar resources.
 */
export function commandKey(task: TaskSpec): string {
  const end = task.command.indexOf(' ');
  return `${task.team}|${end < 0 ? task.command : task.command.slice(0, end)}`;
}

/**
 * Learns the actual resource usage of tasks from reports. The expected size is a quantile of usage
 * relative to the declared size, between 0.1 and 4 times the declared size. Accelerators are always
 * taken as declared.
 */
export class UsageEstimator {
  readonly #usageByCommand = new Map<string, CommandUsage>();

  /** Expected size of a task. */
  expectedSize(task: TaskSpec): Resources {
    const usage = this.#usageByCommand.get(commandKey(task));
    const { processors, memoryMb, accelerators } = task.resources;
    return {
      processors: processors * (usage?.processors.ratio ?? 1),
      memoryMb: memoryMb * (usage?.memoryMb.ratio ?? 1),
      accelerators,
    };
  }

  /** Learns from a completed run. A `throttled` run gives no sample for processors. */
  learn(task: TaskSpec, { peak }: Pick<FinishedTask, 'peak'>, throttled: boolean): void {
    const key = commandKey(task);
    const usage = this.#usageByCommand.get(key) ?? {
      processors: new RatioWindow(),
      memoryMb: new RatioWindow(),
    };
    this.#usageByCommand.delete(key);
    this.#usageByCommand.set(key, usage);
    if (!throttled && task.resources.processors > 0) {
      usage.processors.add(peak.processors / task.resources.processors);
    }
    if (task.resources.memoryMb > 0) {
      usage.memoryMb.add(peak.memoryMb / task.resources.memoryMb);
    }
    this.#forgetOldest();
  }

  /** Clamps measured usage to the upper bound of the expected size. */
  clampUsage(task: TaskSpec, { usage }: Pick<RunningTask, 'usage'>): Resources {
    const { processors, memoryMb, accelerators } = task.resources;
    return {
      processors: Math.min(usage.processors, processors * MAX_RATIO),
      memoryMb: Math.min(usage.memoryMb, memoryMb * MAX_RATIO),
      accelerators,
    };
  }

  #forgetOldest(): void {
    if (this.#usageByCommand.size <= MAX_COMMANDS) {
      return;
    }
    for (const oldest of this.#usageByCommand.keys()) {
      this.#usageByCommand.delete(oldest);
      return;
    }
  }
}
