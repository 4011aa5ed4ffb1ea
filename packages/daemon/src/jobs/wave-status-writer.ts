import type { JobDecision, Millis } from '@turmerichoist/core';
import { CELL_OWNER_KEY, type TableStore } from '@turmerichoist/coordination';
import { Actor, sleep, type ActorContext } from '@turmerichoist/runtime';
import type { RowCodec } from './ports.js';

export type WaveStatus = Extract<JobDecision, { type: 'wave-status' }>;

/** Delay before a status that could not be written is tried again. */
const RETRY_DELAY_MS: Millis = 250;

export type WaveStatusMessage =
  | WaveStatus
  | { readonly type: 'written' }
  /** A status could not be written; sent after the delay. */
  | { readonly type: 'retry'; readonly status: WaveStatus };

export interface WaveStatusWriterOptions {
  /**
   * The cell's own rows. Writes are conditional on the owner's epoch. Must not share a lane with
   * the progress of jobs: a wave writes a status for each of its instances.
   */
  readonly cell: TableStore;
  /** Tables that the platform and its operators share. */
  readonly shared: TableStore;
  readonly rowCodec: RowCodec;
  readonly epoch: number;
  readonly newId: () => string;
}

/**
 * Stores the progress of maintenance waves and shows their status to the operators. While a status
 * is being written, later ones of the same wave replace each other. A status that could not be
 * written is repeated: the next owner would maintain instances again that have been maintained.
 */
export class WaveStatusWriter extends Actor<WaveStatusMessage> {
  readonly #options: WaveStatusWriterOptions;
  readonly #waiting = new Map<number, WaveStatus>();
  readonly #shown = new Map<number, WaveStatus['state']>();
  #writing = false;

  constructor(options: WaveStatusWriterOptions, context: ActorContext) {
    super('waves', context);
    this.#options = options;
  }

  protected receive(message: WaveStatusMessage): void {
    if (message.type === 'wave-status') {
      this.#waiting.set(message.wave, message);
    } else {
      this.#writing = false;
    }
    if (message.type === 'retry' && !this.#waiting.has(message.status.wave)) {
      this.#waiting.set(message.status.wave, message.status);
    }
    const [next] = this.#waiting.values();
    if (!this.#writing && next !== undefined) {
      this.#waiting.delete(next.wave);
      this.#writing = true;
      void this.#write(next);
    }
  }

  async #write(status: WaveStatus): Promise<void> {
    const { wave, state, begun } = status;
    const kept = await this.#keep(status);
    const shown = await this.#show(status);
    this.log.info('wave status', { wave, state, begun: begun.length, kept, shown });
    if (kept && shown) {
      this.post({ type: 'written' });
      return;
    }
    await sleep(RETRY_DELAY_MS, this.signal);
    this.post({ type: 'retry', status });
  }

  /** Stores which instances have begun, for the next owner. */
  async #keep({ wave, state, begun }: WaveStatus): Promise<boolean> {
    const { cell, newId, epoch } = this.#options;
    const value = { begun, completed: state === 'completed' };
    const conditions = [{ key: CELL_OWNER_KEY, version: epoch }];
    const writes = [{ key: `waves/${wave}`, value }];
    const kept = await cell.commit({ txnId: newId(), conditions, writes }, this.signal);
    return kept.isOk();
  }

  /** Writes the operators' row, which only says whether the wave is completed. */
  async #show({ wave, state }: WaveStatus): Promise<boolean> {
    if (this.#shown.get(wave) === state) {
      return true;
    }
    const { shared, rowCodec, newId } = this.#options;
    const writes = [rowCodec.waveStatus(wave, state)];
    const shown = await shared.commit({ txnId: newId(), conditions: [], writes }, this.signal);
    if (shown.isOk()) {
      this.#shown.set(wave, state);
    }
    return shown.isOk();
  }
}
