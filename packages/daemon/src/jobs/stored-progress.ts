import type { JobId, JobProgress, MaintenanceWave, Millis } from '@turmerichoist/core';
import type { ChangeFeed, RowChange } from '@turmerichoist/coordination';
import { sleep, type Logger } from '@turmerichoist/runtime';
import type { OperatorView } from './ports.js';

/**
 * Pause after a failed read. The store client refuses calls at once while it backs off, so without a
 * pause no input would be handled, not even the answer that ends the backoff.
 */
const RETRY_MS: Millis = 100;

interface StoredWave {
  readonly begun: readonly string[];
  readonly completed: boolean;
}

/** The progress of jobs and waves that earlier owners have stored. */
export class StoredProgress {
  readonly #jobs = new Map<JobId, JobProgress>();
  readonly #waves = new Map<number, StoredWave>();
  readonly #log: Logger;
  #loaded = false;

  constructor(log: Logger) {
    this.#log = log;
  }

  /** Whether all of it has been read from the store. */
  get loaded(): boolean {
    return this.#loaded;
  }

  /** Reads all rows, and tries again until it succeeds or the signal is aborted. */
  async load(cell: ChangeFeed, signal: AbortSignal): Promise<void> {
    const [jobs, waves] = await Promise.all([
      this.#read(cell, 'progress', signal),
      this.#read(cell, 'waves', signal),
    ]);
    for (const { key, value } of jobs) {
      this.#jobs.set(nameOf(key), value as unknown as JobProgress);
    }
    for (const { key, value } of waves) {
      this.#waves.set(Number(nameOf(key)), value as unknown as StoredWave);
    }
    this.#loaded = !signal.aborted;
  }

  ofJob(id: JobId): JobProgress | undefined {
    return this.#jobs.get(id);
  }

  /** Adds to a requested wave what has been stored of it. */
  withStatus(wave: OperatorView['waves'][number]): MaintenanceWave {
    return { ...wave, ...(this.#waves.get(wave.number) ?? { begun: [], completed: false }) };
  }

  async #read(cell: ChangeFeed, table: string, signal: AbortSignal): Promise<readonly RowChange[]> {
    while (!signal.aborted) {
      const read = await cell.snapshot(table, signal);
      if (read.isOk()) {
        return read.value.rows;
      }
      this.#log.warn('failed to load table, retrying', { table, error: read.error.kind });
      await sleep(RETRY_MS, signal);
    }
    return [];
  }
}

/** Name of a row without its table. */
function nameOf(key: string): string {
  return key.slice(key.indexOf('/') + 1);
}
