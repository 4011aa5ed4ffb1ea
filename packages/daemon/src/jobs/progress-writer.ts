import type { ExecutorId, JobId, JobProgress, Millis } from '@turmerichoist/core';
import type { JsonValue, TableStore } from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext, type Metrics } from '@turmerichoist/runtime';

/** Progress rows per transaction, which leaves room for the owner's and the lane's rows. */
const MAX_ROWS = 80;
/** Delay before a write, so that changes that arrive close together share a transaction. */
const BATCH_DELAY_MS: Millis = 6;
const RETRY_MS: Millis = 100;

/** An acknowledgement that is held back until all progress decided before it is stored. */
export interface PendingAcknowledgement {
  readonly executor: ExecutorId;
  readonly startedWallMs: Millis;
  /** Sequence number of the last ended run that is acknowledged. */
  readonly through: number;
}

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
  readonly newId: () => string;
  readonly metrics: Metrics;
  readonly onAcknowledged: (acknowledgement: PendingAcknowledgement) => void;
  /** Another owner has taken over. */
  readonly onSuperseded: () => void;
}

/** Stores the progress of jobs in batches and releases the acknowledgements that depend on it. */
export class ProgressWriter extends Actor<ProgressWriterMessage> {
  readonly #options: ProgressWriterOptions;
  readonly #progress = new Map<JobId, JobProgress>();
  readonly #acknowledgements = new Map<ExecutorId, PendingAcknowledgement>();
  #writing = false;

  constructor(options: ProgressWriterOptions, context: ActorContext) {
    super('progress', context);
    this.#options = options;
  }

  /** Jobs whose progress and acknowledgements that wait to be stored or released. */
  get backlog(): { readonly jobs: number; readonly acknowledgements: number } {
    return { jobs: this.#progress.size, acknowledgements: this.#acknowledgements.size };
  }

  protected receive(message: ProgressWriterMessage): void {
    switch (message.type) {
      case 'persist':
        // Reinserts the job at the end of the map, so that a batch takes the oldest changes.
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
    await sleep(BATCH_DELAY_MS, this.signal);
    const batch = [...this.#progress].slice(0, MAX_ROWS);
    const isComplete = batch.length === this.#progress.size;
    const released = isComplete ? [...this.#acknowledgements.values()] : [];
    batch.forEach(([job]) => this.#progress.delete(job));
    if (isComplete) {
      this.#acknowledgements.clear();
    }
    if (batch.length === 0 || (await this.#commit(batch))) {
      released.forEach((acknowledgement) => {
        this.#options.onAcknowledged(acknowledgement);
      });
    }
  }

  /** Retries until the rows are stored. Returns false on shutdown or if another owner leads. */
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
        this.log.warn('progress rejected, another owner leads', { epoch });
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
