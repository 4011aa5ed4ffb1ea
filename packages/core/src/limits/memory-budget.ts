import type { Millis } from '../types/index.js';

/** Identifies what holds memory, within one process. */
export type HolderId = number;

export interface MemoryBudgetOptions {
  /** Bytes that all holders may have together. */
  readonly capacityBytes: number;
  /** Part of the capacity that only a body may use that is received while no other one is. */
  readonly reserveBytes: number;
}

/** Outcome of a request for memory. The evicted bodies have been released. */
export interface BudgetDecision {
  readonly admitted: boolean;
  readonly evicted: readonly HolderId[];
}

export interface HeldBytes {
  readonly receiving: number;
  readonly complete: number;
}

interface ReceivedBody {
  readonly bytes: number;
  readonly startedAt: Millis;
  readonly progressAt: Millis;
}

/**
 * Memory of the bodies that a process has received. Incomplete bodies are evicted when it is used
 * up, the one without progress for longest first; complete ones are never evicted.
 */
export class MemoryBudget {
  readonly #options: MemoryBudgetOptions;
  /** Incomplete bodies, in the order of their latest progress. */
  readonly #receiving = new Map<HolderId, ReceivedBody>();
  readonly #complete = new Map<HolderId, number>();
  #receivingBytes = 0;
  #completeBytes = 0;

  constructor(options: MemoryBudgetOptions) {
    this.#options = options;
  }

  get held(): HeldBytes {
    return { receiving: this.#receivingBytes, complete: this.#completeBytes };
  }

  /** Records that a body has made progress and now holds this many bytes. */
  receive(id: HolderId, bytes: number, now: Millis): BudgetDecision {
    const startedAt = this.#receiving.get(id)?.startedAt ?? now;
    this.release(id);
    this.#receiving.set(id, { bytes, startedAt, progressAt: now });
    this.#receivingBytes += bytes;
    const evicted = this.#evictFor(id);
    const admitted = this.#fits(id);
    if (!admitted) {
      this.release(id);
    }
    return { admitted, evicted };
  }

  /** Records that a body is complete and holds this many bytes until it is released. */
  complete(id: HolderId, bytes: number): BudgetDecision {
    this.release(id);
    this.#complete.set(id, bytes);
    this.#completeBytes += bytes;
    return { admitted: true, evicted: this.#evictFor(id) };
  }

  release(id: HolderId): void {
    this.#receivingBytes -= this.#receiving.get(id)?.bytes ?? 0;
    this.#completeBytes -= this.#complete.get(id) ?? 0;
    this.#receiving.delete(id);
    this.#complete.delete(id);
  }

  /** Returns the incomplete bodies that have no progress since one time, or began before another. */
  slow(progressBefore: Millis, startedBefore: Millis): readonly HolderId[] {
    return [...this.#receiving]
      .filter(([, body]) => body.progressAt < progressBefore || body.startedAt < startedBefore)
      .map(([id]) => id);
  }

  #evictFor(id: HolderId): readonly HolderId[] {
    const evicted: HolderId[] = [];
    const shared = this.#options.capacityBytes - this.#options.reserveBytes;
    for (const other of this.#receiving.keys()) {
      if (this.#receivingBytes + this.#completeBytes <= shared) {
        break;
      }
      if (other !== id) {
        evicted.push(other);
        this.release(other);
      }
    }
    return evicted;
  }

  #fits(id: HolderId): boolean {
    const { capacityBytes, reserveBytes } = this.#options;
    const alone = this.#receiving.size === 1 && this.#receiving.has(id);
    const capacity = alone ? capacityBytes : capacityBytes - reserveBytes;
    return this.#receivingBytes + this.#completeBytes <= capacity;
  }
}
