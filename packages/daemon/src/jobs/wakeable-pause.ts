import type { Millis } from '@turmerichoist/core';

/**
 * A pause of one task that other code may end early. It listens to the signal once, so that a pause
 * costs one timer and no signal of its own.
 */
export class WakeablePause {
  readonly #signal: AbortSignal;
  #end: (() => void) | undefined;

  constructor(signal: AbortSignal) {
    this.#signal = signal;
    signal.addEventListener(
      'abort',
      () => {
        this.wake();
      },
      { once: true },
    );
  }

  /** Resolves after `ms`, on `wake` or when the signal is aborted, whichever comes first. */
  pause(ms: Millis): Promise<void> {
    return new Promise((resolve) => {
      if (this.#signal.aborted) {
        resolve();
        return;
      }
      const timer = setTimeout(() => {
        this.wake();
      }, ms);
      this.#end = () => {
        clearTimeout(timer);
        resolve();
      };
    });
  }

  /** Ends the pause under way, if there is one. */
  wake(): void {
    const end = this.#end;
    this.#end = undefined;
    end?.();
  }
}
