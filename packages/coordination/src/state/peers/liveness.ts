import type { Millis } from '@turmerichoist/core';
import { LINK_SILENT_MS } from './constants.js';

/** What the heartbeats of a link prove about its two directions. */
export class LinkLiveness {
  readonly #silentMs: Millis;
  #receivedAt: Millis;
  #echoAt: Millis;
  #peerSentAt: number | undefined;

  constructor(now: Millis, silentMs: Millis = LINK_SILENT_MS) {
    this.#silentMs = silentMs;
    this.#receivedAt = now;
    this.#echoAt = now;
  }

  /** Send time of the latest heartbeat of the peer, to be echoed. */
  get peerSentAt(): number | null {
    return this.#peerSentAt ?? null;
  }

  onFrame(now: Millis): void {
    this.#receivedAt = now;
  }

  /** `echo` is the own send time that the peer returned. */
  onHeartbeat(sentAt: number, echo: Millis | null): void {
    this.#peerSentAt = sentAt;
    if (echo !== null) {
      this.#echoAt = Math.max(this.#echoAt, echo);
    }
  }

  /** Why the link must be replaced, if so: nothing arrives, or the peer gets nothing. */
  failure(now: Millis): string | undefined {
    if (now - this.#receivedAt > this.#silentMs) {
      return 'the link is silent';
    }
    // The echo of a heartbeat is up to one period older than the frame that carries it.
    if (now - this.#echoAt > this.#silentMs) {
      return 'the peer does not receive';
    }
    return undefined;
  }
}
