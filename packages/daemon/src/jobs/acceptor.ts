import {
  Ok,
  fail,
  type AcceptedJob,
  type AppError,
  type Clock,
  type Millis,
  type Result,
} from '@turmerichoist/core';
import type { JsonValue, TableStore, Transaction } from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext } from '@turmerichoist/runtime';

/** Delay before a write, so that submissions that arrive close together share a transaction. */
const BATCH_DELAY_MS: Millis = 3;
const MAX_ROWS = 40;
const MAX_BYTES = 400_000;

export type AcceptMessage =
  | {
      readonly type: 'accept';
      readonly key: string;
      readonly value: JsonValue;
      readonly deadline: Millis;
      readonly reply: (result: Result<void, AppError>) => void;
    }
  /** The deadline of a submission has passed without a result. */
  | { readonly type: 'expired'; readonly submission: Submission }
  | { readonly type: 'next' };

type Submission = Extract<AcceptMessage, { type: 'accept' }>;

/**
 * Inserts rows, such as accepted jobs and cancellations, in batches. A row that already exists
 * counts as written, because callers retry requests whose response they did not receive.
 * Errors: `store-unavailable` if the row was not written and never will be, `outcome-unknown` if it
 * may have been written, `deadline-passed` if it was not sent in time, `not-ready` on shutdown.
 */
export class Acceptor extends Actor<AcceptMessage> {
  readonly #store: TableStore;
  readonly #clock: Clock;
  readonly #newId: () => string;
  #waiting: Submission[] = [];
  #writing = false;

  constructor(
    options: { readonly store: TableStore; readonly clock: Clock; readonly newId: () => string },
    context: ActorContext,
  ) {
    super('acceptor', context);
    this.#store = options.store;
    this.#clock = options.clock;
    this.#newId = options.newId;
  }

  /** Inserts a row if it does not exist. A retry must pass an equivalent value; the first stays. */
  accept(key: string, value: JsonValue, deadline: Millis): Promise<Result<void, AppError>> {
    return new Promise((resolve) => {
      const answered = new AbortController();
      const reply = (result: Result<void, AppError>): void => {
        answered.abort();
        resolve(result);
      };
      const submission: Submission = { type: 'accept', key, value, deadline, reply };
      if (!this.post(submission)) {
        reply(fail('not-ready', 'stopping'));
      }
      void this.#expireAtDeadline(submission, answered.signal);
    });
  }

  async #expireAtDeadline(submission: Submission, answered: AbortSignal): Promise<void> {
    const remainingMs = Math.max(0, submission.deadline - this.#clock.now());
    await sleep(remainingMs, AbortSignal.any([this.signal, answered]));
    if (!answered.aborted) {
      this.post({ type: 'expired', submission });
    }
  }

  protected receive(message: AcceptMessage): void {
    if (message.type === 'accept') {
      this.#waiting.push(message);
    } else if (message.type === 'expired') {
      this.#onExpired(message.submission);
    }
    if (!this.#writing && this.#waiting.length > 0) {
      this.#writing = true;
      void this.#writeBatch().then(() => {
        this.#writing = false;
        this.post({ type: 'next' });
      });
    }
  }

  /** Fails a submission. A queued one was not sent; the outcome of any other is unknown. */
  #onExpired(submission: Submission): void {
    if (this.#waiting.includes(submission)) {
      this.#waiting = this.#waiting.filter((other) => other !== submission);
      submission.reply(fail('deadline-passed', 'not sent to the store in time'));
    } else {
      submission.reply(fail('outcome-unknown', submission.key));
    }
  }

  async #writeBatch(): Promise<void> {
    await sleep(BATCH_DELAY_MS, this.signal);
    const batch = this.#takeBatch();
    const live = batch.filter((submission) => this.#checkDeadline(submission));
    if (live.length > 0) {
      await this.#commitBatch(live);
    }
  }

  #takeBatch(): readonly Submission[] {
    let bytes = 0;
    let count = 0;
    const keys = new Set<string>();
    for (const { key, value } of this.#waiting) {
      bytes += JSON.stringify(value).length;
      if (count >= MAX_ROWS || (count > 0 && bytes > MAX_BYTES) || keys.has(key)) {
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
    if (this.#clock.now() < submission.deadline) {
      return true;
    }
    submission.reply(fail('deadline-passed', 'not sent to the store in time'));
    return false;
  }

  async #commitBatch(batch: readonly Submission[]): Promise<void> {
    const txn = this.#transaction(batch);
    const deadline = Math.max(...batch.map((submission) => submission.deadline));
    const limit = AbortSignal.any([
      this.signal,
      AbortSignal.timeout(Math.max(1, Math.ceil(deadline - this.#clock.now()))),
    ]);
    const done = await this.#store.commit(txn, limit);
    if (done.isErr()) {
      batch.forEach(({ reply }) => {
        reply(done);
      });
      return;
    }
    if (done.value.committed) {
      batch.forEach(({ reply }) => {
        reply(Ok(undefined));
      });
      return;
    }
    const existing = new Set(done.value.failed);
    batch
      .filter(({ key }) => existing.has(key))
      .forEach(({ reply }) => {
        reply(Ok(undefined));
      });
    const rest = batch.filter(({ key }) => !existing.has(key));
    this.#waiting = [...rest, ...this.#waiting];
  }

  #transaction(batch: readonly Submission[]): Transaction {
    return {
      txnId: this.#newId(),
      conditions: batch.map(({ key }) => ({ key, version: 0 })),
      writes: batch.map(({ key, value }) => ({ key, value })),
    };
  }
}

/** Encodes an accepted job as a row. */
export function jobRow(job: AcceptedJob): { readonly key: string; readonly value: JsonValue } {
  return { key: `jobs/${job.id}`, value: job as unknown as JsonValue };
}
