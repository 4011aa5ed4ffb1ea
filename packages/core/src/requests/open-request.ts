import type { AppError } from '../errors/index.js';
import { appError, answerOf } from '../errors/index.js';
import type { Millis, RequestId, TeamName, UpstreamName, WorkClass } from '../types/index.js';
import type { Waiting } from './flow.js';
import type { Arrival, AttemptResult } from './messages.js';
import { didNotRun } from './retry-policy.js';

/** State of one accepted request until its outcome is known. */
export class OpenRequest implements Waiting {
  readonly arrival: Arrival;
  readonly team: TeamName;
  readonly deadline: Millis;
  /** Attempts started so far. */
  attempts = 0;
  /** Executor of the attempt that runs. */
  upstream: UpstreamName | undefined;
  startedAt: Millis = 0;
  cancelled = false;
  readonly #failedAt = new Set<UpstreamName>();
  readonly #refusedAt = new Set<UpstreamName>();
  #failure: 'upstream-failed' | 'upstream-timeout' | undefined;

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

  /** Idempotency key within its queue and team. */
  get idempotencyKey(): string | undefined {
    const { queue, idempotencyKey } = this.arrival;
    return idempotencyKey === undefined ? undefined : `${queue}/${this.team}/${idempotencyKey}`;
  }

  /** Error of the last attempt that may have run. */
  get failure(): AppError | undefined {
    return this.#failure === undefined ? undefined : appError(this.#failure);
  }

  /** Whether an earlier attempt may have run. */
  get mayHaveRun(): boolean {
    return this.#failure !== undefined;
  }

  attemptFailed(upstream: UpstreamName, result: AttemptResult['type']): void {
    if (didNotRun(result)) {
      this.#refusedAt.add(upstream);
      return;
    }
    if (result !== 'silent') {
      this.#failedAt.add(upstream);
    }
    const late = result === 'timed-out' || result === 'silent';
    this.#failure = late ? 'upstream-timeout' : 'upstream-failed';
  }

  /** Whether another attempt may go to this executor. */
  mayTry(upstream: UpstreamName): boolean {
    return !this.#failedAt.has(upstream) && !this.#refusedAt.has(upstream);
  }

  /** Whether an attempt there failed after it may have run. */
  failedAt(upstream: UpstreamName): boolean {
    return this.#failedAt.has(upstream);
  }

  /** Makes executors that refused eligible again. */
  forgetRefusals(): void {
    this.#refusedAt.clear();
  }

  /** The error to answer with. It never says "not run" of work that may have run. */
  truthful(err: AppError): AppError {
    if (this.#failure === undefined || answerOf(err.kind).outcome !== 'not-run') {
      return err;
    }
    return appError(this.#failure, `not tried again: ${err.kind}`);
  }
}
