import type { MeshMessage } from '@turmerichoist/coordination';
import { NEVER, type Clock, type Millis, type Revision } from '@turmerichoist/core';
import { every, type Recipient } from '@turmerichoist/runtime';

/** Period at which the status of this entry in heartbeats is updated. */
const STATUS_PERIOD_MS: Millis = 250;

export interface MemberStatusOptions {
  readonly clock: Clock;
  readonly mesh: Recipient<MeshMessage>;
  /** The configuration revision that this entry has applied. */
  readonly revision: () => Revision;
}

/** Keeps the status of this entry that its heartbeats carry. */
export class MemberStatusPublisher {
  readonly #options: MemberStatusOptions;
  #freshUntil: Millis = NEVER;
  #storeReachable = false;
  #storeStateSince: Millis;
  #stopping = false;

  constructor(options: MemberStatusOptions) {
    this.#options = options;
    this.#storeStateSince = options.clock.now();
  }

  /** Publishes the status regularly until the signal is aborted. */
  start(signal: AbortSignal): void {
    every(STATUS_PERIOD_MS, signal, () => {
      this.publish();
    });
  }

  setFreshUntil(until: Millis): void {
    this.#freshUntil = until;
  }

  /** Records the outcome of a call to the store. Returns whether reachability changed. */
  recordStoreCall(reachable: boolean): boolean {
    if (reachable === this.#storeReachable) {
      return false;
    }
    this.#storeReachable = reachable;
    this.#storeStateSince = this.#options.clock.now();
    return true;
  }

  /** Announces to peers that this entry is stopping. */
  announceStop(): void {
    this.#stopping = true;
    this.publish();
  }

  publish(): void {
    const { clock, mesh, revision } = this.#options;
    const now = clock.now();
    mesh.post({
      type: 'status',
      status: {
        revision: revision(),
        storeReachable: this.#storeReachable,
        storeForMs: Math.floor(now - this.#storeStateSince),
        freshMs: Math.max(0, Math.floor(this.#freshUntil - now)),
        stopping: this.#stopping,
      },
    });
  }
}
