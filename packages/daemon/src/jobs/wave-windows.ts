import type { Millis, WaveWindow } from '@turmerichoist/core';
import type { RequestedWave } from './ports.js';

/**
 * Remembers when each maintenance wave was requested. Every member follows the operators' requests,
 * so a new leader knows the times, too.
 */
export class WaveWindows {
  /** Undefined for a wave that was in the first read. */
  readonly #windows = new Map<number, WaveWindow | undefined>();

  /**
   * Adds their windows to all requested waves. `readBefore`: monotonic time at which the read was
   * sent that preceded the one which shows them; undefined if there was none.
   */
  apply(waves: readonly RequestedWave[], readBefore: Millis | undefined): readonly RequestedWave[] {
    return waves.map((wave) => {
      const { number, durationMs } = wave;
      if (!this.#windows.has(number)) {
        const unknown = readBefore === undefined || durationMs <= 0;
        const window = unknown ? undefined : { requestedAfter: readBefore, durationMs };
        this.#windows.set(number, window);
      }
      const window = this.#windows.get(number);
      return window === undefined ? wave : { ...wave, window };
    });
  }
}
