import {
  Ok,
  fail,
  type AppError,
  type Clock,
  type Millis,
  type Random,
  type Result,
} from '@turmerichoist/core';
import {
  MAX_VALUE_BYTES,
  callTimeout,
  type JsonValue,
  type TableStore,
  type Transaction,
  type TxnOutcome,
} from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext } from '@turmerichoist/runtime';

/** Delay before a write, so that submissions that arrive close together share a transaction. */
const BATCH_DELAY_MS: Millis = 3;
const MAX_ROWS = 40;
const MAX_BYTES = 400_000;
/** Upper bound of the delay before the first retry; doubles with each failure. */
const RETRY_BASE_MS: Millis = 25;
/** Upper bound of the delay before any retry, well below the time for which callers wait. */
const RETRY_CAP_MS: Millis = 200;

export type AcceptMessage =
  | { readonly type: 'accept'; readonly submission: Submission }
  /** The deadline of a submission has passed without a result. */
  | { readonly type: 'expired'; readonly submission: Submission }
  /** The store has begun or ceased to answer this process. */
  | { readonly type: 'reachable'; readonly reachable: boolean }
  | { readonly type: 'next' };

interface Submission {
  readonly key: string;
  readonly value: JsonValue;
  /** Size of the encoded value. */
  readonly bytes: number;
  readonly deadline: Millis;
  readonly reply: (result: Result<void, AppError>) => void;
}

/** What is known about the attempts to write a submission that has not been answered. */
interface Attempts {
  /** An attempt had an unknown outcome, so a later refusal does not mean that no row was written. */
  readonly maybeWritten: boolean;
  readonly lastError: AppError;
}

export interface AcceptorOptions {
  /** Store of one part; outcomes need not be resolved, because inserts are repeated. */
  readonly store: TableStore;
  readonly clock: Clock;
  readonly random: Random;
  readonly newId: () => string;
}

/**
 * Inserts rows, such as accepted jobs and cancellations, in batches. A row that already exists
 * counts as written, because callers retry requests whose response they did not receive. For the
 * same reason an insert that failed or whose outcome is unknown is repeated until the deadline.
 * Errors: `store-unavailable` or `deadline-passed` if none of the attempts for this call wrote the
 * row and none ever will, `outcome-unknown` if one may have written it or the process stops,
 * `body-too-large` if the store takes no such row, `not-ready` on shutdown. While the store doesn't
 * answer, submissions of which no attempt may have been stored fail at once, and no attempts are sent.
 */
export class Acceptor extends Actor<AcceptMessage> {
  readonly #options: AcceptorOptions;
  readonly #attempts = new Map<Submission, Attempts>();
  #waiting: readonly Submission[] = [];
  #writing = false;
  #reachable = true;
  /** Consecutive failed writes. */
  #failures = 0;

  constructor(options: AcceptorOptions, context: ActorContext) {
    super('acceptor', context);
    this.#options = options;
  }

  /** Inserts a row if it does not exist. A retry must pass an equivalent value; the first stays. */
  accept(key: string, value: JsonValue, deadline: Millis): Promise<Result<void, AppError>> {
    const bytes = Buffer.byteLength(JSON.stringify(value));
    if (bytes > MAX_VALUE_BYTES) {
      return Promise.resolve(fail('body-too-large', `a row holds ${MAX_VALUE_BYTES} bytes`));
    }
    return new Promise((resolve) => {
      const expiry = callTimeout(this.signal, Math.max(0, deadline - this.#options.clock.now()));
      const reply = (result: Result<void, AppError>): void => {
        expiry.clear();
        resolve(result);
      };
      const submission: Submission = { key, value, bytes, deadline, reply };
      if (!this.post({ type: 'accept', submission })) {
        reply(fail('not-ready', 'stopping'));
        return;
      }
      expiry.signal.addEventListener('abort', () => {
        this.#expire(submission);
      });
    });
  }

  /** Called at the deadline or when the process stops. */
  #expire(submission: Submission): void {
    if (!this.post({ type: 'expired', submission })) {
      // Whether a write is in flight is not known here.
      this.#answer(submission, fail('outcome-unknown', 'stopping'));
    }
  }

  protected receive(message: AcceptMessage): void {
    if (message.type === 'accept') {
      this.#waiting = [...this.#waiting, message.submission];
    } else if (message.type === 'expired') {
      this.#onExpired(message.submission);
    } else if (message.type === 'reachable') {
      this.#reachable = message.reachable;
    }
    if (!this.#reachable) {
      this.#refuseUnsent();
    } else if (!this.#writing && this.#waiting.length > 0) {
      this.#writing = true;
      void this.#writeBatch().then(() => {
        this.#writing = false;
        this.post({ type: 'next' });
      });
    }
  }

  /** Fails a submission. The outcome of one that is in flight is unknown. */
  #onExpired(submission: Submission): void {
    if (this.#waiting.includes(submission)) {
      this.#waiting = this.#waiting.filter((other) => other !== submission);
      this.#giveUp(submission);
    } else {
      this.#answer(submission, fail('outcome-unknown', submission.key));
    }
  }

  /** Fails the waiting submissions of which no attempt may have been stored. */
  #refuseUnsent(): void {
    const maybeWritten = (submission: Submission): boolean =>
      this.#attempts.get(submission)?.maybeWritten ?? false;
    const unsent = this.#waiting.filter((submission) => !maybeWritten(submission));
    this.#waiting = this.#waiting.filter(maybeWritten);
    unsent.forEach((submission) => {
      this.#answer(submission, fail('store-unavailable', 'the store does not answer'));
    });
  }

  /** Fails a submission of which no attempt is in flight. */
  #giveUp(submission: Submission): void {
    const attempts = this.#attempts.get(submission);
    if (attempts === undefined) {
      this.#answer(submission, fail('deadline-passed', 'not sent to the store in time'));
    } else if (attempts.maybeWritten) {
      this.#answer(submission, fail('outcome-unknown', submission.key));
    } else {
      const { kind, detail } = attempts.lastError;
      this.#answer(submission, fail(kind, detail));
    }
  }

  #answer(submission: Submission, result: Result<void, AppError>): void {
    this.#attempts.delete(submission);
    submission.reply(result);
  }

  async #writeBatch(): Promise<void> {
    await sleep(BATCH_DELAY_MS, this.signal);
    if (!this.#reachable) {
      return;
    }
    const live = this.#takeBatch().filter((submission) => this.#checkDeadline(submission));
    if (live.length === 0) {
      return;
    }
    const done = await this.#commit(live);
    if (done.isOk()) {
      this.#failures = 0;
      this.#onCommitted(live, done.value);
    } else {
      this.#onFailed(live, done.error);
      await sleep(this.#retryDelay(done.error), this.signal);
    }
  }

  #takeBatch(): readonly Submission[] {
    let batchBytes = 0;
    let count = 0;
    const keys = new Set<string>();
    for (const { key, bytes } of this.#waiting) {
      batchBytes += bytes;
      if (count >= MAX_ROWS || (count > 0 && batchBytes > MAX_BYTES) || keys.has(key)) {
        break;
      }
      keys.add(key);
      count += 1;
    }
    const batch = this.#waiting.slice(0, count);
    this.#waiting = this.#waiting.slice(count);
    return batch;
  }

  /** Returns whether the deadline is still ahead; otherwise fails the submission. */
  #checkDeadline(submission: Submission): boolean {
    if (this.#options.clock.now() < submission.deadline) {
      return true;
    }
    this.#giveUp(submission);
    return false;
  }

  async #commit(batch: readonly Submission[]): Promise<Result<TxnOutcome, AppError>> {
    const { store, clock } = this.#options;
    const deadline = Math.max(...batch.map((submission) => submission.deadline));
    const limit = callTimeout(this.signal, Math.max(1, deadline - clock.now()));
    try {
      return await store.commit(this.#transaction(batch), limit.signal);
    } finally {
      limit.clear();
    }
  }

  /** Answers the submissions whose rows exist now, and queues the others again. */
  #onCommitted(batch: readonly Submission[], outcome: TxnOutcome): void {
    const existing = outcome.committed ? undefined : new Set(outcome.failed);
    const isWritten = ({ key }: Submission): boolean => existing?.has(key) ?? true;
    batch.filter(isWritten).forEach((submission) => {
      this.#answer(submission, Ok(undefined));
    });
    this.#requeue(batch.filter((submission) => !isWritten(submission)));
  }

  #onFailed(batch: readonly Submission[], error: AppError): void {
    this.#failures += 1;
    // `store-rejected` may also stand for a response that could not be decoded.
    const unknown = error.kind !== 'store-unavailable';
    const unanswered = batch.filter(({ deadline }) => this.#options.clock.now() < deadline);
    for (const submission of unanswered) {
      const maybeWritten = unknown || (this.#attempts.get(submission)?.maybeWritten ?? false);
      this.#attempts.set(submission, { maybeWritten, lastError: error });
    }
    if (error.kind === 'store-rejected' || this.signal.aborted) {
      unanswered.forEach((submission) => {
        this.#giveUp(submission);
      });
    } else {
      this.#requeue(unanswered);
    }
  }

  #requeue(batch: readonly Submission[]): void {
    this.#waiting = [...batch, ...this.#waiting];
  }

  /** Full jitter, but not before the time from which the store client admits calls again. */
  #retryDelay({ retryAfterMs = 0 }: AppError): Millis {
    const bound = Math.min(RETRY_CAP_MS, RETRY_BASE_MS * 2 ** (this.#failures - 1));
    return Math.min(retryAfterMs, RETRY_CAP_MS) + this.#options.random.next() * bound;
  }

  #transaction(batch: readonly Submission[]): Transaction {
    return {
      txnId: this.#options.newId(),
      conditions: batch.map(({ key }) => ({ key, version: 0 })),
      writes: batch.map(({ key, value }) => ({ key, value })),
    };
  }
}
