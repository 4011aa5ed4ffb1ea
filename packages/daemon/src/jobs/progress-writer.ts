import type { ExecutorId, JobId, JobProgress, Millis } from '@turmerichoist/core';
import type { JsonValue, TableStore } from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext, type Metrics } from '@turmerichoist/runtime';

/** Rows of one transaction, which leaves room for the owner's and the lane's rows. */
const MAX_ROWS = 80;
/** Gathers ends that come together into one transaction. */
const GATHER_MS: Millis = 6;
const RETRY_MS: Millis = 100;

/** An acknowledgement that waits until all progress decided before it is written. */
export interface PendingAcknowledgement {
  readonly executor: ExecutorId;
  readonly startedWallMs: Millis;
  readonly through: number;
}

export type WriterMessage =
  | { readonly type: 'persist'; readonly job: JobId; readonly progress: JobProgress }
  | { readonly type: 'acknowledge'; readonly acknowledgement: PendingAcknowledgement }
  | { readonly type: 'flush' };

export interface ProgressWriterOptions {
  /** Settles unknown outcomes and commits one transaction after the other. */
  readonly store: TableStore;
  /** The owner's row, whose version makes the writes of a former owner fail. */
  readonly ownerKey: string;
  readonly epoch: number;
  readonly newId: () => string;
  readonly metrics: Metrics;
  readonly onAcknowledged: (acknowledgement: PendingAcknowledgement) => void;
  /** Another owner has taken over. */
  readonly onSuperseded: () => void;
}

/** Writes the progress of jobs, many in one transaction, and releases acknowledgements after it. */
export class ProgressWriter extends Actor<WriterMessage> {
  readonly #options: ProgressWriterOptions;
  readonly #progress = new Map<JobId, JobProgress>();
  readonly #acknowledgements = new Map<ExecutorId, PendingAcknowledgement>();
  #writing = false;

  constructor(options: ProgressWriterOptions, context: ActorContext) {
    super('progress', context);
    this.#options = options;
  }

  protected receive(message: WriterMessage): void {
    switch (message.type) {
      case 'persist':
        // Moves a job to the end, so that a batch holds the oldest changes.
        this.#progress.delete(message.job);
        this.#progress.set(message.job, message.progress);
        break;
      case 'acknowledge':
        this.#acknowledgements.set(message.acknowledgement.executor, message.acknowledgement);
        break;
      case 'flush':
        break;
    }
    if (!this.#writing && (this.#progress.size > 0 || this.#acknowledgements.size > 0)) {
      this.#writing = true;
      void this.#write().then(() => {
        this.#writing = false;
        this.post({ type: 'flush' });
      });
    }
  }

  async #write(): Promise<void> {
    await sleep(GATHER_MS, this.signal);
    const batch = [...this.#progress].slice(0, MAX_ROWS);
    const whole = batch.length === this.#progress.size;
    const released = whole ? [...this.#acknowledgements.values()] : [];
    batch.forEach(([job]) => this.#progress.delete(job));
    if (whole) {
      this.#acknowledgements.clear();
    }
    if (batch.length === 0 || (await this.#commit(batch))) {
      released.forEach((one) => {
        this.#options.onAcknowledged(one);
      });
    }
  }

  /** Repeats until the rows are written; returns false when this owner can write no more. */
  async #commit(batch: readonly (readonly [JobId, JobProgress])[]): Promise<boolean> {
    const { store, ownerKey, epoch, newId, metrics, onSuperseded } = this.#options;
    const writes = batch.map(([job, progress]) => ({
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
        this.log.warn('progress refused, another owner leads', { epoch });
        onSuperseded();
        return false;
      }
      this.log.warn('progress not written yet', { error: done.error.kind, jobs: batch.length });
      await sleep(RETRY_MS, this.signal);
    }
    return false;
  }
}
