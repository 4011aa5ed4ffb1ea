import type { Millis } from '../types/index.js';

/** Until when this owner may act, checked again right before each act. */
export class StartGate {
  /** Epoch of the ownership, which is part of every fence. */
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

  /** True while the configuration is confirmed and the role is surely ours. */
  mayStart(now: Millis): boolean {
    return now < this.#configUntil && this.maySend(now);
  }

  /** True while the role is surely ours. */
  maySend(now: Millis): boolean {
    return now < this.#ownerUntil;
  }

  /** Latest reading of our clock at which a message may leave, given how long it stays valid. */
  sendBefore(now: Millis, windowMs: Millis): Millis {
    return Math.min(now + windowMs, this.#ownerUntil);
  }

  /** The same for a message that starts a task. */
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
