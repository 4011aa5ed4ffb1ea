import type { Millis } from '../types/index.js';
import type { Lease } from './lease-table.js';
import type { LeaseManager } from './lease-manager.js';
import { SEND_WINDOW_MS } from './lease-timing.js';
import type { StopMode, StopReason } from './messages.js';
import type { Fence } from './model.js';
import type { PoolState } from './pool-state.js';

/** Fraction of its processors that a throttled task keeps. */
export const THROTTLED_FRACTION = 0.25;

/** Issues orders to throttle, checkpoint or stop tasks, each with its reason. */
export class StopOrders {
  readonly #state: PoolState;
  readonly #leaseManager: LeaseManager;

  constructor(state: PoolState, leaseManager: LeaseManager) {
    this.#state = state;
    this.#leaseManager = leaseManager;
  }

  throttle(lease: Lease, reason: StopReason, now: Millis): void {
    if (lease.throttled !== undefined || !this.#issueIfSent(lease, 'throttle', reason, now)) {
      return;
    }
    const freedProcessors = lease.size.processors * (1 - THROTTLED_FRACTION);
    const processors = lease.size.processors - freedProcessors;
    this.#leaseManager.resize(lease, { ...lease.size, processors }, lease.charge);
    this.#state.leaseTable.update(lease.task.id, {
      throttled: { reason, at: now },
      freedProcessors,
    });
  }

  checkpoint(lease: Lease, reason: StopReason, now: Millis): void {
    if (lease.stopping === undefined && this.#issueIfSent(lease, 'checkpoint', reason, now)) {
      const stopping = { mode: 'checkpoint', reason, at: now } as const;
      this.#state.leaseTable.update(lease.task.id, { stopping });
    }
  }

  /**
   * Stops the task without a checkpoint. A task that is not idempotent can't be run again, so it is
   * stopped only when it was cancelled.
   */
  stop(lease: Lease, reason: StopReason, now: Millis): void {
    const allowed = lease.task.idempotent || reason === 'cancelled';
    if (allowed && this.#issueIfSent(lease, 'stop', reason, now)) {
      const stopping = { mode: 'stop', reason, at: now } as const;
      this.#state.leaseTable.update(lease.task.id, { stopping });
    }
  }

  /** Stops a reported run that has no current lease. */
  stopOrphan(worker: string, id: string, fence: Fence, now: Millis): void {
    this.#issue(worker, id, fence, 'stop', 'superseded', now);
  }

  #issueIfSent(lease: Lease, mode: StopMode, reason: StopReason, now: Millis): boolean {
    if (lease.phase === 'planned') {
      return false;
    }
    return this.#issue(lease.worker, lease.task.id, lease.fence, mode, reason, now);
  }

  #issue(
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
