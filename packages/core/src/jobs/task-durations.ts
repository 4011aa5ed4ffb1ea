import type { Millis, QueueName } from '../types/index.js';

/** Weight of the newest sample in the moving averages. */
const NEWEST_WEIGHT = 0.05;
/** Number of samples from which on a queue's averages are used. */
const MIN_SAMPLES = 10;

/** Moving mean and variance. */
interface RunningStats {
  readonly mean: number;
  readonly variance: number;
}

interface QueueStats {
  readonly samples: number;
  /** Statistics of the logarithm of actual durations. */
  readonly actual: RunningStats;
  /** Statistics of the logarithm of the ratio of actual to declared duration. */
  readonly error: RunningStats;
}

/**
 * Estimates task durations by queue. Declared durations are weighted by how well they have
 * predicted the actual ones, since in some queues they hardly do.
 */
export class TaskDurations {
  readonly #queues = new Map<QueueName, QueueStats>();
  /** Estimates by queue and declared duration, until the next sample of the queue. */
  readonly #estimates = new Map<QueueName, Map<Millis, Millis>>();

  /** Records a task that ended `done` after `actualMs`. */
  record(queue: QueueName, declaredMs: Millis, actualMs: Millis): void {
    const actual = Math.log(Math.max(1, actualMs));
    const error = actual - Math.log(Math.max(1, declaredMs));
    const known = this.#queues.get(queue);
    this.#estimates.delete(queue);
    this.#queues.set(queue, {
      samples: (known?.samples ?? 0) + 1,
      actual: updateStats(known?.actual, actual, known?.samples ?? 0),
      error: updateStats(known?.error, error, known?.samples ?? 0),
    });
  }

  /** Estimated duration of a task. Returns the declared one while there are too few samples. */
  expectedMs(queue: QueueName, declaredMs: Millis): Millis {
    const estimates = this.#estimates.get(queue) ?? new Map<Millis, Millis>();
    const known = estimates.get(declaredMs);
    if (known !== undefined) {
      return known;
    }
    const estimate = this.#estimate(queue, declaredMs);
    this.#estimates.set(queue, estimates.set(declaredMs, estimate));
    return estimate;
  }

  #estimate(queue: QueueName, declaredMs: Millis): Millis {
    const known = this.#queues.get(queue);
    if (known === undefined || known.samples < MIN_SAMPLES || declaredMs <= 0) {
      return declaredMs;
    }
    const { actual, error } = known;
    const spread = actual.variance + error.variance;
    const declaredWeight = spread === 0 ? 1 : actual.variance / spread;
    const fromDeclared = Math.log(declaredMs) + error.mean;
    return Math.exp(declaredWeight * fromDeclared + (1 - declaredWeight) * actual.mean);
  }
}

/** The first samples have equal weight, later ones a fixed weight. */
function updateStats(
  before: RunningStats | undefined,
  value: number,
  samples: number,
): RunningStats {
  if (before === undefined) {
    return { mean: value, variance: 0 };
  }
  const weight = Math.max(NEWEST_WEIGHT, 1 / (samples + 1));
  const difference = value - before.mean;
  return {
    mean: before.mean + weight * difference,
    variance: (1 - weight) * (before.variance + weight * difference ** 2),
  };
}
