import type { Millis } from '@turmerichoist/core';

/** One read of the leader's lease row. */
export interface LeaseRead {
  /** Fencing token of the leader that wrote the row; undefined if the row does not tell. */
  readonly epoch: number | undefined;
  /** Number of the renewal, which increases within one epoch. */
  readonly beat: number;
  /** Monotonic time of this member at which the read was sent. */
  readonly sentAt: Millis;
}

/** A publication that no earlier read has shown. */
export interface NewPublication {
  /** Time of this member after which it was written; undefined if any row may be older. */
  readonly writtenAfter: Millis | undefined;
}

/** Tells which reads of the lease row show a new publication of the leader, and how old that is. */
export class PublicationOrder {
  #publication: { readonly epoch: number; readonly beat: number } | undefined;
  #lastReadAt: Millis | undefined;

  /**
   * Processes a successful read. Reads are passed on in the order of their send. Returns undefined
   * if the publication is not new.
   */
  observe({ epoch, beat, sentAt }: LeaseRead): NewPublication | undefined {
    const previousReadAt = this.#lastReadAt;
    this.#lastReadAt = sentAt;
    if (epoch === undefined || !this.#isNew(epoch, beat)) {
      return undefined;
    }
    this.#publication = { epoch, beat };
    // Any row may be older than the first read. A later one was written after the read before.
    return { writtenAfter: previousReadAt };
  }

  /** A renewal that the store carried out late may follow newer ones. */
  #isNew(epoch: number, beat: number): boolean {
    const last = this.#publication;
    return last === undefined || epoch > last.epoch || (epoch === last.epoch && beat > last.beat);
  }
}
