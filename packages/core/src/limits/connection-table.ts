/** Identifies a connection of one listener. */
export type ConnectionId = number;

/** Outcome of a new connection: whether it may stay, and which one is closed for it. */
export interface ConnectionDecision {
  readonly admitted: boolean;
  readonly evicted: ConnectionId | undefined;
}

/**
 * The connections of one listener. At the bound, the one that has been idle for longest is closed for
 * a new one, then the one whose incomplete request or unread response has made no progress for
 * longest. A connection with a complete request that is not answered is never closed for another one.
 */
export class ConnectionTable {
  readonly #max: number;
  /** Connections without a request, in the order in which they became idle. */
  readonly #idle = new Set<ConnectionId>();
  /** Connections that wait for their caller, in the order of their latest progress. */
  readonly #waiting = new Set<ConnectionId>();
  readonly #busy = new Set<ConnectionId>();

  constructor(max: number) {
    this.#max = max;
  }

  get size(): number {
    return this.#idle.size + this.#waiting.size + this.#busy.size;
  }

  open(id: ConnectionId): ConnectionDecision {
    let evicted: ConnectionId | undefined;
    if (this.size >= this.#max) {
      evicted = first(this.#idle) ?? first(this.#waiting);
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

  /** Records that a caller has sent more of a request, or read more of a response. */
  waiting(id: ConnectionId): void {
    if (this.#remove(id)) {
      this.#waiting.add(id);
    }
  }

  /** Records that a complete request is not answered yet. */
  busy(id: ConnectionId): void {
    if (this.#remove(id)) {
      this.#busy.add(id);
    }
  }

  close(id: ConnectionId): void {
    this.#remove(id);
  }

  #remove(id: ConnectionId): boolean {
    return this.#idle.delete(id) || this.#waiting.delete(id) || this.#busy.delete(id);
  }
}

function first(ids: Iterable<ConnectionId>): ConnectionId | undefined {
  for (const id of ids) {
    return id;
  }
  return undefined;
}
