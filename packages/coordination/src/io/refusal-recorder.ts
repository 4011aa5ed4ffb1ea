import type { MemberId } from '@turmerichoist/core';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import { REFUSED_PREFIX, encodeRefusals } from '../state/audit-export.js';
import type { AuditRecord } from '../state/audit-record.js';
import type { TableStore } from '../store/index.js';

/** Interval between writes. A crash loses the refusals recorded since the last write. */
const FLUSH_INTERVAL_MS = 500;
/** Maximum number of refusals to buffer during a store outage; further ones are only logged. */
const MAX_BUFFERED = 1_000;

export type RefusalMessage =
  { readonly type: 'refused'; readonly record: AuditRecord } | { readonly type: 'flush' };

export interface RefusalRecorderOptions {
  readonly memberId: MemberId;
  readonly store: TableStore;
  readonly newId: () => string;
}

/** Buffers the audit records of refused changes and writes them in batches, one row per batch. */
export class RefusalRecorder extends Actor<RefusalMessage> {
  readonly #options: RefusalRecorderOptions;
  #buffered: readonly AuditRecord[] = [];

  constructor(options: RefusalRecorderOptions, context: ActorContext) {
    super('refusals', context);
    this.#options = options;
  }

  start(): void {
    every(FLUSH_INTERVAL_MS, this.signal, () => {
      this.post({ type: 'flush' });
    });
  }

  protected async receive(message: RefusalMessage): Promise<void> {
    if (message.type === 'flush') {
      await this.#flush();
      return;
    }
    if (this.#buffered.length >= MAX_BUFFERED) {
      this.log.error('refusal dropped, buffer full', { actor: message.record.actor });
      return;
    }
    this.#buffered = [...this.#buffered, message.record];
  }

  async #flush(): Promise<void> {
    if (this.#buffered.length === 0) {
      return;
    }
    const { memberId, newId, store } = this.#options;
    const records = this.#buffered;
    const txnId = newId();
    const key = `${REFUSED_PREFIX}${memberId}-${txnId}`;
    const writes = [{ key, value: encodeRefusals(records) }];
    const sent = await store.commit({ txnId, conditions: [], writes }, this.signal);
    // After an unknown outcome the batch is written again; queries deduplicate records by id.
    if (sent.isOk()) {
      this.#buffered = this.#buffered.slice(records.length);
    }
  }
}
