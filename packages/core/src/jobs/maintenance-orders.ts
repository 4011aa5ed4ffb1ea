import type { Millis } from '../types/index.js';
import type { PoolInstance } from './messages.js';
import type { ExecutorId } from './model.js';

/** Backoff before an unanswered order is sent again. */
const ORDER_RETRY_MS: Millis = 500;
/**
 * Time after its last call went unanswered in which an order may still take effect. Several times what
 * the platform takes for one.
 */
const LATE_EFFECT_MS: Millis = 5_000;

interface PendingOrder {
  readonly executor: ExecutorId | undefined;
  /** Monotonic time at which a call last went unanswered; undefined if none has. */
  readonly unansweredAt: Millis | undefined;
  /** Monotonic time from which it may be sent again; Infinity while a call is in flight. */
  readonly retryAt: Millis;
}

/** Orders to maintain instances that are in flight or whose outcome is unknown. */
export class MaintenanceOrders {
  readonly #pending = new Map<string, PendingOrder>();

  has(instance: string): boolean {
    return this.#pending.has(instance);
  }

  /** The executor that ran on the instance when the order was sent. */
  executorOf(instance: string): ExecutorId | undefined {
    return this.#pending.get(instance)?.executor;
  }

  /** Whether an order that ends this executor may be on its way. */
  mayEnd(executor: ExecutorId): boolean {
    return [...this.#pending.values()].some((order) => order.executor === executor);
  }

  sent(instance: string, executor: ExecutorId | undefined): void {
    const unansweredAt = this.#pending.get(instance)?.unansweredAt;
    this.#pending.set(instance, { executor, unansweredAt, retryAt: Infinity });
  }

  /** The outcome of the order is known. */
  settled(instance: string): void {
    this.#pending.delete(instance);
  }

  /** A call was not answered. */
  unanswered(instance: string, now: Millis): void {
    const executor = this.executorOf(instance);
    this.#pending.set(instance, { executor, unansweredAt: now, retryAt: now + ORDER_RETRY_MS });
  }

  /**
   * A call was not sent. Returns whether the outcome is unknown all the same: an earlier call went
   * unanswered.
   */
  notSent(instance: string, now: Millis): boolean {
    const pending = this.#pending.get(instance);
    if (pending?.unansweredAt === undefined) {
      return false;
    }
    this.#pending.set(instance, { ...pending, retryAt: now + ORDER_RETRY_MS });
    return true;
  }

  /** Whether the order may be sent again: its last call went unanswered a while ago. */
  isRepeatable(instance: string, now: Millis): boolean {
    return now >= (this.#pending.get(instance)?.retryAt ?? Infinity);
  }

  /** Forgets unanswered orders for instances that a list requested at `requestedAt` leaves out. */
  settleMissing(isListed: (instance: string) => boolean, requestedAt: Millis): void {
    for (const [instance, { unansweredAt = Infinity }] of [...this.#pending]) {
      if (!isListed(instance) && requestedAt > unansweredAt) {
        this.#pending.delete(instance);
      }
    }
  }

  /** Whether a list requested at `requestedAt` shows that the order has had no effect, nor will have. */
  isWithoutEffect({ name, state, executor }: PoolInstance, requestedAt: Millis): boolean {
    const pending = this.#pending.get(name);
    const unansweredAt = pending?.unansweredAt ?? Infinity;
    const unchanged = state === 'up' && executor === pending?.executor;
    return unchanged && requestedAt >= unansweredAt + LATE_EFFECT_MS;
  }
}
