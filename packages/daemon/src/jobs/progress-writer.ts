import type { Clock, JobId, JobProgress, Millis } from '@turmerichoist/core';
import { MAX_VALUE_BYTES, type JsonValue, type TableStore } from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext, type Metrics } from '@turmerichoist/runtime';
import {
  ProgressQueue,
  progressBytes,
  type PendingAcknowledgement,
  type ProgressBacklog,
  type QueuedProgress,
} from './progress-queue.js';

/** Progress rows per transaction, which leaves room for the owner's and the transaction log's rows. */
const MAX_ROWS = 80;
/** Size of a batch, which grows by a third when it is sent; a transaction holds 1 MB. */
const MAX_BYTES = 600_000;
/**
 * Delay before a write, so that changes that arrive close together share a transaction. Ends that
 * executors list during it are acknowledged together, too, which takes fewer polls.
 */
const BATCH_DELAY_MS: Millis = 20;
const RETRY_MS: Millis = 100;

/**
 * Rows of a batch that are kept for the oldest changes while ended jobs go first, so that the
 * acknowledgements behind them are released.
 */
const OLDEST_ROWS = 20;

export type ProgressWriterMessage =
  | { readonly type: 'persist'; readonly job: JobId; readonly progress: JobProgress }
  | { readonly type: 'acknowledge'; readonly acknowledgement: PendingAcknowledgement }
  | { readonly type: 'flush' };

export interface ProgressWriterOptions {
  /** Resolves unknown outcomes and commits one transaction at a time. */
  readonly store: TableStore;
  /** Key of the owner's row. Writes are conditional on its version, so a former owner's fail. */
  readonly ownerKey: string;
  /** Version of the owner's row in this term. */
  readonly epoch: number;
  readonly clock: Clock;
  readonly newId: () => string;
  readonly metrics: Metrics;
  readonly onAcknowledged: (acknowledgement: PendingAcknowledgement) => void;
  /** Another owner has taken over. */
  readonly onSuperseded: () => void;
}

/**
 * Stores the progress of jobs in batches, one at a time, and releases each acknowledgement once
 * everything that was queued before it is stored. Its mailbox refuses nothing: the progress of a job
 * that has ended is not sent again, and a later acknowledgement would be released without it. What
 * waits is bounded by the jobs and executors of the cell.
 */
export class ProgressWriter extends Actor<ProgressWriterMessage> {
  readonly #options: ProgressWriterOptions;
  readonly #queue = new ProgressQueue({
    maxRows: MAX_ROWS,
    oldestRows: OLDEST_ROWS,
    maxBytes: MAX_BYTES,
  });
  #writing = false;
  /** Another owner leads, so nothing is stored or released any more. */
  #superseded = false;

  constructor(options: ProgressWriterOptions, context: ActorContext) {
    super('progress', { ...context, capacity: Infinity });
    this.#options = options;
  }

  /** What waits to be stored now. */
  get backlog(): ProgressBacklog {
    return this.#queue.backlog(this.#options.clock.now());
  }

  protected receive(message: ProgressWriterMessage): void {
    switch (message.type) {
      case 'persist':
        this.#queue.add(message.job, message.progress, this.#options.clock.now());
        break;
      case 'acknowledge':
        this.#queue.acknowledge(message.acknowledgement);
        break;
      case 'flush':
        break;
    }
    if (!this.#writing && !this.#superseded && !this.#queue.isEmpty) {
      this.#writing = true;
      void this.#write().then(() => {
        this.#writing = false;
        this.post({ type: 'flush' });
      });
    }
  }

  async #write(): Promise<void> {
    await sleep(BATCH_DELAY_MS, this.signal);
    const batch = this.#queue.take().filter((queued) => this.#fitsIntoRow(queued));
    if (batch.length > 0 && !(await this.#commit(batch))) {
      return;
    }
    this.#queue.release().forEach((acknowledgement) => {
      this.#options.onAcknowledged(acknowledgement);
    });
  }

  /**
   * A job whose progress does not fit into a row is left out until it does, as it does when the job
   * has ended. Otherwise the batch would be rejected each time and nothing would be stored any more.
   */
  #fitsIntoRow({ job, progress }: QueuedProgress): boolean {
    const bytes = progressBytes(progress);
    if (bytes > MAX_VALUE_BYTES) {
      this.log.error('progress is too large to store', { job, bytes });
    }
    return bytes <= MAX_VALUE_BYTES;
  }

  /** Retries until the rows are stored. Returns false on shutdown or if another owner leads. */
  async #commit(batch: readonly QueuedProgress[]): Promise<boolean> {
    const { store, ownerKey, epoch, newId, metrics, onSuperseded } = this.#options;
    const writes = batch.map(({ job, progress }) => ({
      key: `progress/${job}`,
      value: progress as unknown as JsonValue,
    }));
    while (!this.signal.aborted) {
      const conditions = [{ key: ownerKey, version: epoch }];
      const done = await store.commit({ txnId: newId(), conditions, writes }, this.signal);
      metrics.count('progress.commits');
      if (done.isOk() && done.value.committed) {
        return true;
      }
      if (done.isOk()) {
        this.log.warn('progress rejected, another owner leads', { epoch });
        this.#superseded = true;
        onSuperseded();
        return false;
      }
      this.log.warn('failed to write progress, retrying', {
        error: done.error.kind,
        jobs: batch.length,
      });
      await sleep(RETRY_MS, this.signal);
    }
    return false;
  }
}
