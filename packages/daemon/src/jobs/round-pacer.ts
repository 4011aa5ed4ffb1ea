import type { Clock, Millis } from '@turmerichoist/core';
import { after, afterArrivedInput } from '@turmerichoist/runtime';

/**
 * Shortest time between two scheduling rounds. A round costs about as much as ten other events, and
 * at the peak of a large cell the input of nearly every turn of the event loop makes one due.
 */
export const MIN_ROUND_INTERVAL_MS: Millis = 8;

export interface RoundPacerOptions {
  readonly clock: Clock;
  readonly signal: AbortSignal;
  /** Queues a round; returns false if it is refused. */
  readonly queue: () => boolean;
}

/** Queues at most one scheduling round at a time, behind the input that has arrived by then. */
export class RoundPacer {
  readonly #options: RoundPacerOptions;
  #pending = false;
  #lastRoundAt: Millis = -Infinity;

  constructor(options: RoundPacerOptions) {
    this.#options = options;
  }

  /** Queues a round unless one is pending. */
  request(): void {
    if (this.#pending) {
      return;
    }
    this.#pending = true;
    const { clock, signal, queue } = this.#options;
    const waitMs = this.#lastRoundAt + MIN_ROUND_INTERVAL_MS - clock.now();
    const queueRound = (): void => {
      this.#pending = queue();
    };
    if (waitMs > 0) {
      after(waitMs, signal, queueRound);
    } else {
      afterArrivedInput(signal, queueRound);
    }
  }

  /** Records that a round is about to run. */
  onRound(): void {
    this.#pending = false;
    this.#lastRoundAt = this.#options.clock.now();
  }
}
