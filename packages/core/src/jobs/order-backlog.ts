import type { Millis } from '../types/index.js';
import { attemptKey, type TaskAttempt } from './model.js';

/**
 * Age at which a start is given up that has not left. Together with the time-out of its answer it stays
 * within the 2 s after which a start counts as carried out or lost (`LeaseExpiry`, `RunReconciler`).
 */
export const MAX_START_WAIT_MS: Millis = 1_000;
/** Bounds the memory for orders of each kind that wait for one executor; more are turned away. */
const MAX_WAITING = 1_000;

/** An order to start a task. */
export interface StartOrder extends TaskAttempt {
  readonly payload: string;
  /** Checkpoint to resume from; empty to start from the beginning. */
  readonly checkpoint: string;
}

export type StopOrder = TaskAttempt;

/** An order to throttle a task to a share of its speed. */
export interface PaceOrder extends TaskAttempt {
  readonly percent: number;
}

/** A start that waits, with what it was decided on. */
export interface WaitingStart {
  readonly order: StartOrder;
  /** Monotonic time since which it waits. */
  readonly since: Millis;
  /** Process of the executor that it is for, by its number. */
  readonly process: number;
}

export type NextOrder =
  | { readonly type: 'stop'; readonly order: StopOrder }
  | { readonly type: 'start'; readonly waiting: WaitingStart }
  | { readonly type: 'pace'; readonly order: PaceOrder };

/**
 * Orders that wait until one of the connections to their executor is free. Stops are sent first, since
 * they free capacity, then starts, then paces, each in the order in which they came.
 */
export class OrderBacklog {
  readonly #stops = new Map<string, StopOrder>();
  readonly #starts = new Map<string, WaitingStart>();
  readonly #paces = new Map<string, PaceOrder>();

  get size(): number {
    return this.#stops.size + this.#starts.size + this.#paces.size;
  }

  /** Returns false if too many starts wait; it is not added then. */
  addStart(waiting: WaitingStart): boolean {
    return tryAdd(this.#starts, attemptKey(waiting.order), waiting);
  }

  /** Takes back the start of a run. Returns false if it does not wait: it has left. */
  withdrawStart(run: StopOrder): boolean {
    return this.#starts.delete(attemptKey(run));
  }

  /** Returns false if it is not added: the same stop waits already, or too many do. */
  addStop(order: StopOrder): boolean {
    const key = attemptKey(order);
    return !this.#stops.has(key) && tryAdd(this.#stops, key, order);
  }

  /** Replaces a pace of the same run that waits. Returns false if it is not added. */
  addPace(order: PaceOrder): boolean {
    return tryAdd(this.#paces, attemptKey(order), order);
  }

  /** Removes all starts, as the executor does not answer or has restarted. Returns them. */
  removeStarts(): readonly WaitingStart[] {
    const removed = [...this.#starts.values()];
    this.#starts.clear();
    return removed;
  }

  /** Takes the order that is to be sent next. */
  take(): NextOrder | undefined {
    const stop = takeFirst(this.#stops);
    if (stop !== undefined) {
      return { type: 'stop', order: stop };
    }
    const start = takeFirst(this.#starts);
    if (start !== undefined) {
      return { type: 'start', waiting: start };
    }
    const pace = takeFirst(this.#paces);
    return pace === undefined ? undefined : { type: 'pace', order: pace };
  }
}

function tryAdd<T>(orders: Map<string, T>, key: string, order: T): boolean {
  if (orders.size >= MAX_WAITING && !orders.has(key)) {
    return false;
  }
  orders.set(key, order);
  return true;
}

function takeFirst<T>(orders: Map<string, T>): T | undefined {
  for (const [key, order] of orders) {
    orders.delete(key);
    return order;
  }
  return undefined;
}
