import type { Millis, QueueName } from '../types/index.js';

/** Weight of the newest task in the averages. */
const NEWEST_WEIGHT = 0.05;
/** Tasks of a queue that must have ended before its averages are used. */
const MIN_SAMPLES = 10;

/** Running mean and variance of a figure. */
interface Average {
  readonly mean: number;
  readonly variance: number;
}

interface QueueStats {
  readonly samples: number;
  /** Of the logarithm of durations. */
  readonly actual: Average;
  /** Of the logarithm of durations divided by what was declared. */
  readonly error: Average;
}

/**
 * Durations of tasks as seen, by queue. What submitters declare is weighed by how well it has told
 * the durations of a queue's tasks apart, since in some queues it hardly does.
 */
export class TaskDurations {
  readonly #queues = new Map<QueueName, QueueStats>();

  /** A task of the queue has ended `done` after `actualMs`. */
  record(queue: QueueName, declaredMs: Millis, actualMs: Millis): void {
    const actual = Math.log(Math.max(1, actualMs));
    const error = actual - Math.log(Math.max(1, declaredMs));
    const known = this.#queues.get(queue);
    this.#queues.set(queue, {
      samples: (known?.samples ?? 0) + 1,
      actual: follow(known?.actual, actual, known?.samples ?? 0),
      error: follow(known?.error, error, known?.samples ?? 0),
    });
  }

  /** Likely duration of a task. */
  expectedMs(queue: QueueName, declaredMs: Millis): Millis {
    const known = this.#queues.get(queue);
    if (known === undefined || known.samples < MIN_SAMPLES || declaredMs <= 0) {
      return declaredMs;
    }
    const { actual, error } = known;
    const spread = actual.variance + error.variance;
    const trust = spread === 0 ? 1 : actual.variance / spread;
    const fromDeclared = Math.log(declaredMs) + error.mean;
    return Math.exp(trust * fromDeclared + (1 - trust) * actual.mean);
  }
}

/** The first samples count alike, later ones with a fixed weight. */
function follow(before: Average | undefined, value: number, samples: number): Average {
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
