import { ConnectionTable } from '@turmerichoist/core';
import type { PeerLink } from './peer-link.js';

/**
 * Accepted links that have not completed the handshake. At the bound, the oldest one is closed for a
 * new one, so that they neither use up the descriptors nor keep members from linking.
 */
export class UnauthenticatedLinks {
  readonly #table: ConnectionTable;
  readonly #links = new Map<number, PeerLink>();
  readonly #ids = new WeakMap<PeerLink, number>();
  #lastId = 0;

  constructor(max: number) {
    this.#table = new ConnectionTable(max);
  }

  get size(): number {
    return this.#links.size;
  }

  /** Adds a link and closes the oldest one where there is no room for both. */
  add(link: PeerLink): void {
    this.#lastId += 1;
    const { evicted } = this.#table.open(this.#lastId);
    this.#links.set(this.#lastId, link);
    this.#ids.set(link, this.#lastId);
    if (evicted !== undefined) {
      this.#links.get(evicted)?.post({ type: 'closed', reason: 'too many unauthenticated links' });
      this.#links.delete(evicted);
    }
  }

  /** Removes a link that has completed the handshake or has closed. */
  remove(link: PeerLink): void {
    const id = this.#ids.get(link);
    if (id !== undefined) {
      this.#table.close(id);
      this.#links.delete(id);
    }
  }
}
