/** Identifies a connection of one listener. */
export type ConnectionId = number;

/** Outcome of a new connection: whether it may stay, and which one is closed for it. */
export interface ConnectionDecision {
  readonly admitted: boolean;
  readonly evicted: ConnectionId | undefined;
}

/**
 * The connections of one listener. At the bound, the one that has been idle for longest is closed for
 * a new one, then the one that has received no body data for longest. A connection whose request is
 * complete is never closed for another one.
 */
export class ConnectionTable {
  readonly #max: number;
  /** Connections without a request, in the order in which they became idle. */
  readonly #idle = new Set<ConnectionId>();
  /** Connections with an incomplete request, in the order of their latest progress. */
  readonly #receiving = new Set<ConnectionId>();
  readonly #busy = new Set<ConnectionId>();

  constructor(max: number) {
    this.#max = max;
  }

  get size(): number {
    return this.#idle.size + this.#receiving.size + this.#busy.size;
  }

  open(id: ConnectionId): ConnectionDecision {
    let evicted: ConnectionId | undefined;
    if (this.size >= this.#max) {
      evicted = first(this.#idle) ?? first(this.#receiving);
      if (evicted === undefined) {
        return { admitted: false, evicted };
      }
      this.close(evicted);
    }
    this.#idle.add(id);
    return { admitted: true, evicted };
  }

  /** Records that no request is open on a connection. */
  idle(id: ConnectionId): void {
    if (this.#remove(id)) {
      this.#idle.add(id);
    }
  }

  /** Records progress of a request that is not complete. */
  receiving(id: ConnectionId): void {
    if (this.#remove(id)) {
      this.#receiving.add(id);
    }
  }

  /** Records that a complete request is being served. */
  busy(id: ConnectionId): void {
    if (this.#remove(id)) {
      this.#busy.add(id);
    }
  }

  close(id: ConnectionId): void {
    this.#remove(id);
  }

  #remove(id: ConnectionId): boolean {
    return this.#idle.delete(id) || this.#receiving.delete(id) || this.#busy.delete(id);
  }
}

function first(ids: Iterable<ConnectionId>): ConnectionId | undefined {
  for (const id of ids) {
    return id;
  }
  return undefined;
}
