import type { MemberId } from '@turmerichoist/core';
import { Actor, every, type ActorContext } from '@turmerichoist/runtime';
import { REFUSED_PREFIX, encodeRefusals } from '../state/audit-export.js';
import type { AuditRecord } from '../state/audit-record.js';
import type { TableStore } from '../store/index.js';

/** Period at which refusals are written. Those of a process that dies within it are lost. */
const FLUSH_PERIOD_MS = 500;
/** Refusals kept while the store is away; further ones are counted in the log only. */
const MAX_WAITING = 1_000;

export type RefusalMessage =
  { readonly type: 'refused'; readonly record: AuditRecord } | { readonly type: 'flush' };

export interface RefusalRecorderOptions {
  readonly memberId: MemberId;
  readonly store: TableStore;
  readonly newId: () => string;
}

/** Writes the audit records of refused changes in batches, one row each. */
export class RefusalRecorder extends Actor<RefusalMessage> {
  readonly #options: RefusalRecorderOptions;
  #waiting: readonly AuditRecord[] = [];

  constructor(options: RefusalRecorderOptions, context: ActorContext) {
    super('refusals', context);
    this.#options = options;
  }

  /** Starts the timer. */
  start(): void {
    every(FLUSH_PERIOD_MS, this.signal, () => {
      this.post({ type: 'flush' });
    });
  }

  protected async receive(message: RefusalMessage): Promise<void> {
    if (message.type === 'flush') {
      await this.#flush();
      return;
    }
    if (this.#waiting.length >= MAX_WAITING) {
      this.log.error('refusal not recorded', { actor: message.record.actor });
      return;
    }
    this.#waiting = [...this.#waiting, message.record];
  }

  async #flush(): Promise<void> {
    if (this.#waiting.length === 0) {
      return;
    }
    const { memberId, newId, store } = this.#options;
    const records = this.#waiting;
    const txnId = newId();
    const key = `${REFUSED_PREFIX}${memberId}-${txnId}`;
    const writes = [{ key, value: encodeRefusals(records) }];
    const sent = await store.commit({ txnId, conditions: [], writes }, this.signal);
    // After an unknown outcome the batch is written again; a query returns each record once.
    if (sent.isOk()) {
      this.#waiting = this.#waiting.slice(records.length);
    }
  }
}
