import type { Millis } from '@turmerichoist/core';
import { LINK_SILENT_MS } from './constants.js';

/** Detects from frames and heartbeat echoes whether a link works in both directions. */
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

  /** `sentAt` of the peer's latest heartbeat, to be echoed; null before the first. */
  get peerSentAt(): number | null {
    return this.#peerSentAt ?? null;
  }

  onFrame(now: Millis): void {
    this.#receivedAt = now;
  }

  /** `echo` is the `sentAt` of the latest own heartbeat that the peer has received. */
  onHeartbeat(sentAt: number, echo: Millis | null): void {
    this.#peerSentAt = sentAt;
    if (echo !== null) {
      this.#echoAt = Math.max(this.#echoAt, echo);
    }
  }

  /** Leaves out the last `ms`, for which this process did not run, as frames may have arrived. */
  discount(ms: Millis, now: Millis): void {
    this.#receivedAt = Math.min(now, this.#receivedAt + ms);
    this.#echoAt = Math.min(now, this.#echoAt + ms);
  }

  /** The reason to replace the link, if any: no frame arrives, or the peer receives none. */
  failure(now: Millis): string | undefined {
    if (now - this.#receivedAt > this.#silentMs) {
      return 'no frame was received in time';
    }
    // The echo of a heartbeat is up to one period older than the frame that carries it.
    if (now - this.#echoAt > this.#silentMs) {
      return 'the peer does not receive';
    }
    return undefined;
  }
}
