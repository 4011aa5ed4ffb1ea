import {
  ExpectedStarts,
  appError,
  decideAdmission,
  type AcceptedJob,
  type AdmissionRefusal,
  type AppError,
  type Clock,
  type JobId,
  type Millis,
  type Random,
} from '@turmerichoist/core';
import type { LogFields, Metrics } from '@turmerichoist/runtime';
import type { PublishedWorkAhead } from './bulletin.js';
import { PublicationOrder, type LeaseRead } from './publication-order.js';

/** Number of jobs of which it is remembered that this member has begun to store them. */
const MAX_KNOWN_JOBS = 20_000;

export interface SubmissionGateOptions {
  readonly clock: Clock;
  readonly random: Random;
  readonly metrics: Metrics;
}

/** One read of the leader's lease row, with its figures. */
export interface WorkAheadRead extends LeaseRead {
  readonly workAhead: PublishedWorkAhead | undefined;
}

/** A refused submission, with what determined the decision for the log. */
export interface Refusal {
  readonly error: AppError;
  readonly fields: LogFields;
}

/** Refuses submissions of jobs that could not end with any value, on every member of a cell. */
export class SubmissionGate {
  readonly #options: SubmissionGateOptions;
  readonly #order = new PublicationOrder();
  readonly #starts = new ExpectedStarts();
  /** Jobs that this member has begun to store: a repeated submission may find them stored. */
  readonly #known = new Set<JobId>();

  constructor(options: SubmissionGateOptions) {
    this.#options = options;
  }

  /** Age of the latest figures; undefined if there are none. */
  get ageMs(): Millis | undefined {
    return this.#starts.ageMs(this.#options.clock.now());
  }

  /** Processes a successful read of the lease row. Reads are passed on in the order of their send. */
  observe(read: WorkAheadRead): void {
    const publication = this.#order.observe(read);
    if (publication === undefined) {
      return;
    }
    const { writtenAfter } = publication;
    if (read.workAhead === undefined || writtenAfter === undefined) {
      this.#starts.clear();
    } else {
      this.#starts.apply(read.workAhead.lanes, writtenAfter - read.workAhead.ageMs);
    }
  }

  /**
   * Checks a submission before it is stored. Returns the refusal, if any. `isFirstTry`: whether the
   * caller can't have submitted the job to another member before, which may have stored it.
   */
  check({ id, queue, team, spec, policy }: AcceptedJob, isFirstTry: boolean): Refusal | undefined {
    if (this.#known.has(id) || !isFirstTry) {
      return undefined;
    }
    const { clock, random, metrics } = this.#options;
    const expected = this.#starts.startOf(queue, team, spec, clock.now());
    const decision = decideAdmission(spec, policy, expected, random.next());
    if (decision.type === 'accept') {
      return undefined;
    }
    metrics.count('admission.refused', 1, { queue });
    return newRefusal(decision);
  }

  /** Records that this member has begun to store a job. */
  markKnown(id: JobId): void {
    this.#known.add(id);
    if (this.#known.size > MAX_KNOWN_JOBS) {
      const [oldest] = this.#known;
      this.#known.delete(oldest ?? id);
    }
  }

  /** Records a job that this member has accepted and not known before. */
  recordAccepted({ queue, team, spec }: AcceptedJob): void {
    this.#starts.recordAccepted(queue, team, spec, this.#options.clock.now());
  }
}

function newRefusal({ expected, limitMs, retryAfterMs }: AdmissionRefusal): Refusal {
  const fields = {
    expectedStartMs: Math.round(expected.lateMs),
    startInTimeMs: Math.round(expected.inTimeMs),
    limitMs: Math.round(limitMs),
    figuresAgeMs: Math.round(expected.ageMs),
    retryAfterMs: Math.round(retryAfterMs),
  };
  return { error: appError('queue-full', 'the job would end too late', retryAfterMs), fields };
}
