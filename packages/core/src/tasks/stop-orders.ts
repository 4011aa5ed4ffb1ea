import type { Millis } from '../types/index.js';
import type { Lease } from './lease-book.js';
import type { LeaseKeeper } from './lease-keeper.js';
import { SEND_WINDOW_MS } from './lease-timing.js';
import type { StopMode, StopReason } from './messages.js';
import type { Fence } from './model.js';
import type { PoolState } from './pool-state.js';

/** Part of its processors that a throttled task keeps. */
export const THROTTLED_PART = 0.25;

/** Orders workers to throttle, checkpoint or stop tasks, each with its reason. */
export class StopOrders {
  readonly #state: PoolState;
  readonly #keeper: LeaseKeeper;

  constructor(state: PoolState, keeper: LeaseKeeper) {
    this.#state = state;
    this.#keeper = keeper;
  }

  throttle(lease: Lease, reason: StopReason, now: Millis): void {
    if (lease.throttled !== undefined || !this.#order(lease, 'throttle', reason, now)) {
      return;
    }
    const givenUp = lease.size.processors * (1 - THROTTLED_PART);
    const processors = lease.size.processors - givenUp;
    this.#keeper.resize(lease, { ...lease.size, processors }, lease.charge);
    this.#state.book.change(lease.task.id, { throttled: { reason, at: now }, givenUp });
  }

  checkpoint(lease: Lease, reason: StopReason, now: Millis): void {
    if (lease.stopping === undefined && this.#order(lease, 'checkpoint', reason, now)) {
      const stopping = { mode: 'checkpoint', reason, at: now } as const;
      this.#state.book.change(lease.task.id, { stopping });
    }
  }

  /**
   * Ends the task without a checkpoint. Only a cancelled task may be stopped so if it is not
   * idempotent, as it can't be run again.
   */
  stop(lease: Lease, reason: StopReason, now: Millis): void {
    const allowed = lease.task.idempotent || reason === 'cancelled';
    if (allowed && this.#order(lease, 'stop', reason, now)) {
      const stopping = { mode: 'stop', reason, at: now } as const;
      this.#state.book.change(lease.task.id, { stopping });
    }
  }

  /** Ends a run that no lease stands for, on a worker that reports it. */
  stopStray(worker: string, id: string, fence: Fence, now: Millis): void {
    this.#push(worker, id, fence, 'stop', 'superseded', now);
  }

  #order(lease: Lease, mode: StopMode, reason: StopReason, now: Millis): boolean {
    if (lease.phase === 'planned') {
      return false;
    }
    return this.#push(lease.worker, lease.task.id, lease.fence, mode, reason, now);
  }

  #push(
    worker: string,
    id: string,
    fence: Fence,
    mode: StopMode,
    reason: StopReason,
    now: Millis,
  ): boolean {
    const { gate, out } = this.#state;
    if (!gate.maySend(now)) {
      return false;
    }
    const sendBefore = gate.sendBefore(now, SEND_WINDOW_MS);
    out.push({ type: 'stop', worker, epoch: gate.epoch, id, fence, mode, reason, sendBefore });
    return true;
  }
}
