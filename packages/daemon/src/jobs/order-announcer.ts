import { z } from 'zod';
import {
  AnnouncedOrders,
  type Clock,
  type JobEvent,
  type Millis,
  type OrdersRecord,
} from '@turmerichoist/core';
import { CELL_OWNER_KEY, type TableStore } from '@turmerichoist/coordination';
import { sleep, type ActorContext, type Recipient } from '@turmerichoist/runtime';

/** Not among the rows of the leadership, which every member reads several times a second. */
export const ANNOUNCED_ORDERS_KEY = 'orders/announced';
const READ_RETRY_MS: Millis = 50;
/** Shortest pause between writes that only remove names. */
const CLEANUP_INTERVAL_MS: Millis = 1_000;

const recordSchema = z.object({
  holder: z.string(),
  own: z.array(z.string()),
  former: z.array(z.string()),
});

export interface OrderAnnouncerOptions {
  /** Store that resolves unknown outcomes and commits one transaction at a time. */
  readonly store: TableStore;
  /** Lease holder of this owner's orders. */
  readonly holder: string;
  readonly epoch: number;
  /** Monotonic time at which this owner was elected. */
  readonly electedAt: Millis;
  /** Time for which orders of two holders to one instance conflict. */
  readonly orderHandoverMs: Millis;
  readonly clock: Clock;
  readonly newId: () => string;
  readonly owner: Recipient<JobEvent>;
}

interface WaitingAnnouncement {
  readonly done: (stored: boolean) => void;
}

/**
 * Stores about which instances one owner is about to send orders, and reads what former owners have
 * stored. Writes are conditional on the owner's epoch, so that the record that the next owner reads
 * names every instance about which this one has sent an order lately.
 */
export class OrderAnnouncer {
  readonly #options: OrderAnnouncerOptions;
  readonly #context: ActorContext;
  readonly #announced: AnnouncedOrders;
  #waiting: readonly WaitingAnnouncement[] = [];
  #writing = false;
  #cleanedAt: Millis = -Infinity;

  constructor(options: OrderAnnouncerOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
    const { holder, orderHandoverMs } = options;
    this.#announced = new AnnouncedOrders({ holder, handoverMs: orderHandoverMs });
  }

  /** Reads the record of the former owner and posts which instances it concerns. */
  async loadFormer(): Promise<void> {
    const { store, electedAt, owner } = this.#options;
    const { signal, log } = this.#context;
    while (!signal.aborted) {
      const read = await store.read([ANNOUNCED_ORDERS_KEY], signal);
      if (read.isOk()) {
        const [row] = read.value;
        const record = recordSchema.safeParse(row?.value);
        if (row !== undefined && !record.success) {
          log.error('announced orders not valid', { error: z.prettifyError(record.error) });
          return;
        }
        const held = record.success ? this.#announced.inherit(record.data, electedAt) : [];
        log.info('former orders', { epoch: this.#options.epoch, held: held.length });
        owner.post({ type: 'former-orders', held });
        return;
      }
      log.warn('failed to read announced orders, retrying', { error: read.error.kind });
      await sleep(READ_RETRY_MS, signal);
    }
  }

  /**
   * Announces an order. Resolves to whether the order may be sent, as the store names its instance
   * from now on. `ended` must be called afterwards in any case.
   */
  async announce(instance: string): Promise<boolean> {
    if (!this.#announced.begin(instance, this.#options.clock.now())) {
      return false;
    }
    if (this.#announced.isStored(instance)) {
      return true;
    }
    return new Promise<boolean>((resolve) => {
      this.#waiting = [...this.#waiting, { done: resolve }];
      void this.#writeWaiting();
    });
  }

  /** Takes note of the end of an order. An unanswered one may still be carried out. */
  ended(instance: string, answered: boolean): void {
    this.#announced.end(instance, answered, this.#options.clock.now());
  }

  /** Removes names that the next owner need not know any more, if there are such. */
  removeExpired(): void {
    const now = this.#options.clock.now();
    const due = now - this.#cleanedAt >= CLEANUP_INTERVAL_MS;
    if (due && !this.#writing && this.#announced.isOutdated(now)) {
      this.#cleanedAt = now;
      this.#writing = true;
      void this.#write().then(() => {
        this.#writing = false;
        return this.#writeWaiting();
      });
    }
  }

  async #writeWaiting(): Promise<void> {
    if (this.#writing) {
      return;
    }
    this.#writing = true;
    // Orders that are decided together are announced together.
    await Promise.resolve();
    while (this.#waiting.length > 0) {
      const batch = this.#waiting;
      this.#waiting = [];
      const stored = await this.#write();
      batch.forEach(({ done }) => {
        done(stored);
      });
    }
    this.#writing = false;
  }

  async #write(): Promise<boolean> {
    const { store, epoch, newId, clock } = this.#options;
    const record: OrdersRecord = this.#announced.startWrite(clock.now());
    const written = await store.commit(
      {
        txnId: newId(),
        conditions: [{ key: CELL_OWNER_KEY, version: epoch }],
        writes: [{ key: ANNOUNCED_ORDERS_KEY, value: { ...record } }],
      },
      this.#context.signal,
    );
    const stored = written.isOk() && written.value.committed;
    this.#announced.endWrite(stored);
    return stored;
  }
}
