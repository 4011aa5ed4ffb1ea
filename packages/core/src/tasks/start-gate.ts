import type { Millis } from '../types/index.js';

/**
 * Deadlines until which this owner may start tasks and send orders; checked right before each one.
 */
export class StartGate {
  /** Epoch of the ownership, part of every fencing token. */
  readonly epoch: number;
  #configUntil: Millis = -Infinity;
  #ownerUntil: Millis = -Infinity;

  constructor(epoch: number) {
    this.epoch = epoch;
  }

  set(configUntil: Millis, ownerUntil: Millis): void {
    this.#configUntil = configUntil;
    this.#ownerUntil = ownerUntil;
  }

  /** True while the configuration is confirmed to be current and ownership is guaranteed. */
  mayStart(now: Millis): boolean {
    return now < this.#configUntil && this.maySend(now);
  }

  /** True while ownership is guaranteed. */
  maySend(now: Millis): boolean {
    return now < this.#ownerUntil;
  }

  /**
   * Latest reading of the owner's clock at which a message that is valid for `windowMs` may be
   * sent.
   */
  sendBefore(now: Millis, windowMs: Millis): Millis {
    return Math.min(now + windowMs, this.#ownerUntil);
  }

  /** As `sendBefore`, for a message that starts a task. */
  startBefore(now: Millis, windowMs: Millis): Millis {
    return Math.min(this.sendBefore(now, windowMs), this.#configUntil);
  }

  blockedBy(now: Millis): 'ownership' | 'configuration-freshness' | undefined {
    if (!this.maySend(now)) {
      return 'ownership';
    }
    return this.mayStart(now) ? undefined : 'configuration-freshness';
  }
}
