import type { AppError } from '../errors/index.js';
import { appError, errorResponse } from '../errors/index.js';
import type { Millis, RequestId, TeamName, UpstreamName, WorkClass } from '../types/index.js';
import type { QueueItem } from './flow.js';
import type { Arrival, AttemptResult } from './messages.js';
import { didNotRun } from './retry-policy.js';

/** State of an accepted request until its outcome is known. */
export class PendingRequest implements QueueItem {
  readonly arrival: Arrival;
  readonly team: TeamName;
  readonly deadline: Millis;
  /** Number of attempts started so far. */
  attempts = 0;
  /** Executor of the running attempt; `undefined` while the request waits. */
  upstream: UpstreamName | undefined;
  attemptStartedAt: Millis = 0;
  cancelled = false;
  readonly #failedOn = new Set<UpstreamName>();
  readonly #refusedBy = new Set<UpstreamName>();
  #lastFailure: 'upstream-failed' | 'upstream-timeout' | undefined;

  constructor(arrival: Arrival, team: TeamName, deadline: Millis) {
    this.arrival = arrival;
    this.team = team;
    this.deadline = deadline;
  }

  get id(): RequestId {
    return this.arrival.id;
  }

  get workClass(): WorkClass {
    return this.arrival.workClass;
  }

  /** Idempotency key, qualified by queue and team. */
  get idempotencyKey(): string | undefined {
    const { queue, idempotencyKey } = this.arrival;
    return idempotencyKey === undefined ? undefined : `${queue}/${this.team}/${idempotencyKey}`;
  }

  /** Error of the last attempt that may have run; `undefined` if there was none. */
  get lastFailure(): AppError | undefined {
    return this.#lastFailure === undefined ? undefined : appError(this.#lastFailure);
  }

  /** Whether an earlier attempt may have run. */
  get mayHaveRun(): boolean {
    return this.#lastFailure !== undefined;
  }

  recordFailure(upstream: UpstreamName, result: AttemptResult['type']): void {
    if (didNotRun(result)) {
      this.#refusedBy.add(upstream);
      return;
    }
    if (result !== 'silent') {
      this.#failedOn.add(upstream);
    }
    const timedOut = result === 'timed-out' || result === 'silent';
    this.#lastFailure = timedOut ? 'upstream-timeout' : 'upstream-failed';
  }

  /** Whether this executor is eligible for another attempt. */
  canTry(upstream: UpstreamName): boolean {
    return !this.#failedOn.has(upstream) && !this.#refusedBy.has(upstream);
  }

  /** Whether an attempt that may have run failed on this executor. */
  failedOn(upstream: UpstreamName): boolean {
    return this.#failedOn.has(upstream);
  }

  /** Makes the executors that refused the request eligible again. */
  clearRefusals(): void {
    this.#refusedBy.clear();
  }

  /** Replaces an error that reports "not run" if an earlier attempt may have run. */
  correctOutcome(err: AppError): AppError {
    if (this.#lastFailure === undefined || errorResponse(err.kind).outcome !== 'not-run') {
      return err;
    }
    return appError(this.#lastFailure, `not retried: ${err.kind}`);
  }
}
