import type { JobDecision } from '@turmerichoist/core';
import { CELL_OWNER_KEY, type TableStore } from '@turmerichoist/coordination';
import type { Logger } from '@turmerichoist/runtime';
import type { RowCodec } from './ports.js';

export interface WaveStatusWriterOptions {
  /** The cell's own rows. Writes are conditional on the owner's epoch. */
  readonly cell: TableStore;
  /** Tables that the platform and its operators share. */
  readonly shared: TableStore;
  readonly rowCodec: RowCodec;
  readonly epoch: number;
  readonly newId: () => string;
  readonly log: Logger;
  readonly signal: AbortSignal;
}

/** Stores the progress of maintenance waves and shows their status to the operators. */
export class WaveStatusWriter {
  readonly #options: WaveStatusWriterOptions;

  constructor(options: WaveStatusWriterOptions) {
    this.#options = options;
  }

  async write(status: Extract<JobDecision, { type: 'wave-status' }>): Promise<void> {
    const { cell, shared, rowCodec, newId, epoch, log, signal } = this.#options;
    const { wave, state, begun } = status;
    const value = { begun, completed: state === 'completed' };
    const row = rowCodec.waveStatus(wave, state);
    const conditions = [{ key: CELL_OWNER_KEY, version: epoch }];
    const writes = [{ key: `waves/${wave}`, value }];
    const kept = await cell.commit({ txnId: newId(), conditions, writes }, signal);
    const shown = await shared.commit({ txnId: newId(), conditions: [], writes: [row] }, signal);
    log.info('wave status', {
      wave,
      state,
      begun: begun.length,
      kept: kept.isOk(),
      shown: shown.isOk(),
    });
  }
}
