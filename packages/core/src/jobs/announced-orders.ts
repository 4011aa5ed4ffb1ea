import type { Millis } from '../types/index.js';
import type { HeldInstance } from './order-handover.js';

/** Longest time for which an order may be on its way, which is the time-out of the call. */
export const ORDER_SETTLE_MS: Millis = 1_500;
/** Limit of the names in a record, in characters; a row of the store may hold 65,536 bytes. */
const MAX_RECORD_CHARS = 32_000;
/** Characters that the encoding of a name adds to it. */
const CHARS_PER_NAME = 3;

/** What an owner stores before it sends orders to instances, for the next owner. */
export interface OrdersRecord {
  /** Member that wrote the record: the lease holder of its orders. */
  readonly holder: string;
  /** Instances about which it may have sent orders, or is about to. */
  readonly own: readonly string[];
  /** Instances about which earlier owners may have sent orders lately. */
  readonly former: readonly string[];
}

export interface AnnouncedOrdersOptions {
  /** Lease holder of this owner's orders. */
  readonly holder: string;
  /** Time for which orders of two holders to one instance conflict. */
  readonly handoverMs: Millis;
}

interface Announcement {
  /** Orders that have been announced and not answered. */
  readonly inFlight: number;
  /** Monotonic time from which no order conflicts with those that have been answered. */
  readonly until: Millis;
}

/**
 * The instances about which one owner orders, as the next owner has to know them. An order may be
 * sent only when a record that names its instance is stored, whichever of the writes under way is
 * carried out. Instances are named until orders of another holder no longer conflict.
 */
export class AnnouncedOrders {
  readonly #options: AnnouncedOrdersOptions;
  readonly #own = new Map<string, Announcement>();
  readonly #former = new Map<string, Millis>();
  /** Names in the stored record; if a write had no known outcome, those that are in any case. */
  #stored: ReadonlySet<string> = new Set();
  /** Names in the record that is being written. */
  #writing: ReadonlySet<string> | undefined;
  /** All names that the stored record may have. */
  #recorded: ReadonlySet<string> = new Set();

  constructor(options: AnnouncedOrdersOptions) {
    this.#options = options;
  }

  /**
   * Takes the record of the former owner, whose term ended before `now`. Returns the instances that
   * this owner must leave alone: orders of its own holder need not be waited for any longer than
   * they can be on their way.
   */
  inherit({ holder, own, former }: OrdersRecord, now: Millis): readonly HeldInstance[] {
    const until = now + this.#options.handoverMs + ORDER_SETTLE_MS;
    const sameHolder = holder === this.#options.holder;
    this.#recorded = new Set([...own, ...former]);
    const held = new Map<string, Millis>();
    for (const instance of own) {
      held.set(instance, sameHolder ? now + ORDER_SETTLE_MS : until);
      if (sameHolder) {
        this.#own.set(instance, { inFlight: 0, until });
      } else {
        this.#former.set(instance, until);
      }
    }
    for (const instance of former) {
      held.set(instance, until);
      this.#former.set(instance, until);
    }
    return [...held].map(([instance, until]) => ({ instance, until }));
  }

  /** Announces an order. Returns false if the record would be too large; it is not announced then. */
  begin(instance: string, now: Millis): boolean {
    const known = this.#own.get(instance);
    if (known === undefined && this.#exceedsLimit(instance, now)) {
      return false;
    }
    const until = known?.until ?? -Infinity;
    this.#own.set(instance, { inFlight: (known?.inFlight ?? 0) + 1, until });
    return true;
  }

  /** Takes note of the end of an announced order; an unanswered one may be carried out later. */
  end(instance: string, answered: boolean, now: Millis): void {
    const known = this.#own.get(instance);
    if (known !== undefined) {
      const keepMs = this.#options.handoverMs + (answered ? 0 : ORDER_SETTLE_MS);
      const until = Math.max(known.until, now + keepMs);
      this.#own.set(instance, { inFlight: known.inFlight - 1, until });
    }
  }

  /** Whether each record that the store may hold from now on names the instance. */
  isStored(instance: string): boolean {
    return this.#stored.has(instance) && this.#writing?.has(instance) !== false;
  }

  /** Whether the stored record names instances that need not be named any more. */
  isOutdated(now: Millis): boolean {
    this.#removeExpired(now);
    return [...this.#recorded].some((name) => !this.#own.has(name) && !this.#former.has(name));
  }

  /** Returns the record to be written now. Only one write may be under way. */
  startWrite(now: Millis): OrdersRecord {
    this.#removeExpired(now);
    const own = [...this.#own.keys()];
    this.#writing = new Set(own);
    return { holder: this.#options.holder, own, former: [...this.#former.keys()] };
  }

  /** `stored`: whether the write is known to have taken effect. It may do so later if not. */
  endWrite(stored: boolean): void {
    const written = this.#writing ?? new Set();
    const common = [...this.#stored].filter((name) => written.has(name));
    this.#stored = stored ? written : new Set(common);
    const names = [...written, ...this.#former.keys()];
    this.#recorded = new Set(stored ? names : [...this.#recorded, ...names]);
    this.#writing = undefined;
  }

  #exceedsLimit(instance: string, now: Millis): boolean {
    this.#removeExpired(now);
    return (
      [...this.#own.keys(), ...this.#former.keys(), instance]
        .map((name) => name.length + CHARS_PER_NAME)
        .reduce((total, chars) => total + chars, 0) > MAX_RECORD_CHARS
    );
  }

  #removeExpired(now: Millis): void {
    for (const [instance, { inFlight, until }] of [...this.#own]) {
      if (inFlight === 0 && until <= now) {
        this.#own.delete(instance);
      }
    }
    for (const [instance, until] of [...this.#former]) {
      if (until <= now) {
        this.#former.delete(instance);
      }
    }
  }
}
