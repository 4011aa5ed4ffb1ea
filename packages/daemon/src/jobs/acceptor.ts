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

/** Gathers jobs that come together into one transaction. */
const GATHER_MS: Millis = 3;
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
  /** The deadline of a submission has passed. */
  | { readonly type: 'expired'; readonly submission: Submission }
  | { readonly type: 'next' };

type Submission = Extract<AcceptMessage, { type: 'accept' }>;

/**
 * Writes rows that must be new, such as accepted jobs, in batches. A row that exists already counts
 * as written, because submitters repeat requests whose answer they missed.
 * Errors: `store-unavailable` when the row was not and will not be written, `outcome-unknown` when
 * that can't be told.
 */
export class Acceptor extends Actor<AcceptMessage> {
  readonly #store: TableStore;
  readonly #clock: Clock;
  readonly #newId: () => string;
  #waiting: Submission[] = [];
  #busy = false;

  constructor(
    options: { readonly store: TableStore; readonly clock: Clock; readonly newId: () => string },
    context: ActorContext,
  ) {
    super('acceptor', context);
    this.#store = options.store;
    this.#clock = options.clock;
    this.#newId = options.newId;
  }

  /** Writes a row unless it exists. `value` must not change between repeats in what matters. */
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
      void this.#expire(submission, answered.signal);
    });
  }

  async #expire(submission: Submission, answered: AbortSignal): Promise<void> {
    const leftMs = Math.max(0, submission.deadline - this.#clock.now());
    await sleep(leftMs, AbortSignal.any([this.signal, answered]));
    if (!answered.aborted) {
      this.post({ type: 'expired', submission });
    }
  }

  protected receive(message: AcceptMessage): void {
    if (message.type === 'accept') {
      this.#waiting.push(message);
    } else if (message.type === 'expired') {
      this.#expired(message.submission);
    }
    if (!this.#busy && this.#waiting.length > 0) {
      this.#busy = true;
      void this.#writeBatch().then(() => {
        this.#busy = false;
        this.post({ type: 'next' });
      });
    }
  }

  /** A submission that waits has not been sent; of one that has been, nothing is known. */
  #expired(submission: Submission): void {
    if (this.#waiting.includes(submission)) {
      this.#waiting = this.#waiting.filter((one) => one !== submission);
      submission.reply(fail('deadline-passed', 'the store was busy'));
    } else {
      submission.reply(fail('outcome-unknown', submission.key));
    }
  }

  async #writeBatch(): Promise<void> {
    await sleep(GATHER_MS, this.signal);
    const batch = this.#takeBatch();
    const live = batch.filter((one) => this.#inTime(one));
    if (live.length > 0) {
      await this.#write(live);
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

  #inTime(one: Submission): boolean {
    if (this.#clock.now() < one.deadline) {
      return true;
    }
    one.reply(fail('deadline-passed', 'the store was busy'));
    return false;
  }

  async #write(batch: readonly Submission[]): Promise<void> {
    const txn = this.#transaction(batch);
    const deadline = Math.max(...batch.map((one) => one.deadline));
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

/** The row of an accepted job. */
export function jobRow(job: AcceptedJob): { readonly key: string; readonly value: JsonValue } {
  return { key: `jobs/${job.id}`, value: job as unknown as JsonValue };
}
