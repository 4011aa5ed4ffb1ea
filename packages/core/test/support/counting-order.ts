import {
  LeastWorkFirst,
  TaskDurations,
  type Job,
  type JobOrdering,
  type Millis,
  type RankedJob,
} from '../../src/index.js';

/** Counts how often a job is ranked, as a measure of work. */
export class CountingOrder implements JobOrdering {
  ranked = 0;
  readonly #order = new LeastWorkFirst(new TaskDurations());

  rank(job: Job, now: Millis): RankedJob {
    this.ranked += 1;
    return this.#order.rank(job, now);
  }

  compare(a: RankedJob, b: RankedJob): number {
    return this.#order.compare(a, b);
  }
}
