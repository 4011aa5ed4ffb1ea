import type { FinishedTask, RunningTask } from './messages.js';
import type { Resources, TaskSpec } from './model.js';

/** Runs of one team and command that are remembered. */
const SAMPLES = 64;
/** Runs needed before the declaration is departed from. */
const MIN_SAMPLES = 5;
/** Part of the runs whose use is at most the expected size; the highest few may be outliers. */
const QUANTILE = 0.9;
/** Bounds of the expected size, as parts of the declaration. */
const LOWEST_RATIO = 0.1;
const HIGHEST_RATIO = 4;
/** Commands that are remembered; the one not seen for longest is forgotten first. */
const MAX_KEYS = 10_000;

/** The last samples of a ratio between use and declaration. */
class RatioWindow {
  readonly #values: number[] = [];
  #next = 0;
  #quantile: number | undefined;

  add(value: number): void {
    this.#values[this.#next] = value;
    this.#next = (this.#next + 1) % SAMPLES;
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
    return Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, value));
  }
}

interface Learned {
  readonly processors: RatioWindow;
  readonly memoryMb: RatioWindow;
}

/** Team and first word of the command: what one team runs under one name resembles itself. */
export function commandKey(task: TaskSpec): string {
  const end = task.command.indexOf(' ');
  return `${task.team}|${end < 0 ? task.command : task.command.slice(0, end)}`;
}

/**
 * Learns from reports how much tasks really use. The expected size is a quantile of use relative to
 * the declaration, between 0.1 and 4 times the declaration; accelerators are always as declared.
 */
export class UsageEstimator {
  readonly #learned = new Map<string, Learned>();

  /** Expected size of a task. */
  sizeOf(task: TaskSpec): Resources {
    const learned = this.#learned.get(commandKey(task));
    const { processors, memoryMb, accelerators } = task.resources;
    return {
      processors: processors * (learned?.processors.ratio ?? 1),
      memoryMb: memoryMb * (learned?.memoryMb.ratio ?? 1),
      accelerators,
    };
  }

  /** Learns from a run that ended; `throttled` runs say nothing about processors. */
  learn(task: TaskSpec, { peak }: Pick<FinishedTask, 'peak'>, throttled: boolean): void {
    const key = commandKey(task);
    const learned = this.#learned.get(key) ?? {
      processors: new RatioWindow(),
      memoryMb: new RatioWindow(),
    };
    this.#learned.delete(key);
    this.#learned.set(key, learned);
    if (!throttled && task.resources.processors > 0) {
      learned.processors.add(peak.processors / task.resources.processors);
    }
    if (task.resources.memoryMb > 0) {
      learned.memoryMb.add(peak.memoryMb / task.resources.memoryMb);
    }
    this.#forgetOldest();
  }

  /** Measured use within the bounds in which it is believed. */
  bounded(task: TaskSpec, { usage }: Pick<RunningTask, 'usage'>): Resources {
    const { processors, memoryMb, accelerators } = task.resources;
    return {
      processors: Math.min(usage.processors, processors * HIGHEST_RATIO),
      memoryMb: Math.min(usage.memoryMb, memoryMb * HIGHEST_RATIO),
      accelerators,
    };
  }

  #forgetOldest(): void {
    if (this.#learned.size <= MAX_KEYS) {
      return;
    }
    for (const oldest of this.#learned.keys()) {
      this.#learned.delete(oldest);
      return;
    }
  }
}
