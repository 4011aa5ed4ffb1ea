import type { InstanceName, Millis, TaskId } from '../types/index.js';
import { NO_RESOURCES, subtract } from './resource-arithmetic.js';
import { DueQueue } from './due-queue.js';
import type { Lease } from './lease-table.js';
import {
  LEASE_TTL_MS,
  RENEW_INTERVAL_MS,
  REPORT_MAX_AGE_MS,
  SEND_WINDOW_MS,
  latestExpiryOf,
  latestExpiryOfFormer,
  orderDeadline,
} from './lease-timing.js';
import type { LeaseOrder, RenewOrder } from './messages.js';
import type { Fence, Resources, TaskLogEvent, TaskRecord } from './model.js';
import type { PoolState } from './pool-state.js';
import { sameFence } from './task-store.js';

type ReturnCause = Extract<TaskLogEvent, { type: 'returned' }>['cause'];
type EndState = Extract<TaskLogEvent, { type: 'ended' }>['state'];

/** Minimum duration of a throttle, so that it does not flap. */
const THROTTLE_MIN_MS = 3_000;

/**
 * Plans, sends, renews and ends leases, and keeps workers, shares, queues and the log consistent.
 */
export class LeaseManager {
  readonly #state: PoolState;
  readonly #renewals = new DueQueue<InstanceName>();
  #sequence = 0;

  constructor(state: PoolState) {
    this.#state = state;
  }

  /**
   * Reserves resources for a waiting task and logs its lease, which is sent once that is confirmed.
   */
  plan(record: TaskRecord, worker: InstanceName, size: Resources, now: Millis): void {
    const { gate, log, queues, ledger } = this.#state;
    const { task, resume } = record;
    this.#sequence += 1;
    const fence: Fence = { epoch: gate.epoch, sequence: this.#sequence };
    const effect = { type: 'send-lease', id: task.id, fence } as const;
    const ttlMs = LEASE_TTL_MS;
    log.write({ type: 'leased', id: task.id, fence, worker, ttlMs, resume }, effect);
    queues.remove(task);
    const charge = ledger.chargeFor(task.team, task.resources, size);
    this.#allocate({ ...NEW_LEASE, task, fence, worker, size, charge, since: now });
  }

  /** Takes over the lease of a former owner. */
  adopt(record: TaskRecord, now: Millis): void {
    const { task, lease } = record;
    if (lease === undefined) {
      return;
    }
    const { fence, worker, ttlMs } = lease;
    const latestExpiry = latestExpiryOfFormer(now, ttlMs);
    const size = task.resources;
    const base = { ...NEW_LEASE, task, fence, worker, size, charge: size, since: now };
    this.#allocate({ ...base, phase: 'sent', latestExpiry });
  }

  /**
   * Sends planned leases that the log has confirmed, after rechecking that each may still start.
   */
  send(orders: readonly { readonly id: TaskId; readonly fence: Fence }[], now: Millis): void {
    const byWorker = new Map<InstanceName, LeaseOrder[]>();
    for (const { id, fence } of orders) {
      const lease = this.#state.leaseTable.get(id);
      if (lease?.phase === 'planned' && sameFence(lease.fence, fence)) {
        const order = this.#buildLeaseOrder(lease, now);
        if (order === undefined) {
          this.requeue(lease, 'not-started', now);
        } else {
          byWorker.set(lease.worker, [...(byWorker.get(lease.worker) ?? []), order]);
        }
      }
    }
    const sendBefore = this.#state.gate.startBefore(now, SEND_WINDOW_MS);
    for (const [worker, leases] of byWorker) {
      this.#state.out.push({ type: 'lease', worker, leases, sendBefore });
    }
  }

  /** Resolves expired leases and sends the renewals that are due. */
  tick(now: Millis): void {
    const { leaseTable } = this.#state;
    for (
      let lease = leaseTable.takeExpired(now);
      lease !== undefined;
      lease = leaseTable.takeExpired(now)
    ) {
      this.resolveLost(lease, now);
    }
    const due = this.#renewals;
    for (let worker = due.takeDue(now); worker !== undefined; worker = due.takeDue(now)) {
      this.#renew(worker, now);
    }
  }

  /**
   * Handles a lease that has ended with an unknown outcome. Only an idempotent task is run again.
   */
  resolveLost(lease: Lease, now: Millis): void {
    if (lease.task.idempotent) {
      this.requeue(lease, 'lost', now);
    } else {
      this.endTask(lease, 'unknown', `the lease on ${lease.worker} ended without an outcome`);
    }
  }

  /** Ends the lease and queues the task again, unless it was cancelled in the meantime. */
  requeue(lease: Lease, cause: ReturnCause, now: Millis): void {
    const { log, queues } = this.#state;
    const { task, fence } = lease;
    if (log.get(task.id)?.cancelRequested === true) {
      this.endTask(lease, 'cancelled', 'cancelled');
      return;
    }
    this.#release(lease);
    log.write({ type: 'returned', id: task.id, fence, cause });
    queues.add(task, now, true);
  }

  /** Ends the lease and the task. */
  endTask(lease: Lease, state: EndState, detail: string): void {
    this.#release(lease);
    this.#state.log.write({ type: 'ended', id: lease.task.id, state, detail });
  }

  /** Changes the resources that a leased task occupies. */
  resize(lease: Lease, size: Resources, charge: Resources): Lease {
    const { leaseTable, table, ledger, queues } = this.#state;
    const difference = subtract(size, lease.size);
    table.resize(lease.worker, difference);
    ledger.resize(lease.task.team, difference, subtract(charge, lease.charge));
    queues.rerank(lease.task.team);
    return leaseTable.update(lease.task.id, { size, charge }) ?? lease;
  }

  /** Records that the worker runs the task, and schedules renewals. */
  markRunning(lease: Lease, incarnation: string, now: Millis): void {
    const { leaseTable } = this.#state;
    if (lease.phase !== 'running') {
      const startDeadlineMs = lease.startDeadlineMs ?? -Infinity;
      leaseTable.update(lease.task.id, { phase: 'running', incarnation, startDeadlineMs });
    }
    this.#renewals.setIfAbsent(lease.worker, now);
  }

  #buildLeaseOrder(lease: Lease, now: Millis): LeaseOrder | undefined {
    const { table, log, leaseTable, gate, ledger } = this.#state;
    const { task, fence, worker } = lease;
    const record = log.get(task.id);
    const anchor = table.get(worker)?.anchor;
    const allowed = ledger.isWithinAllowance(task.team);
    const open = allowed && table.isSchedulable(worker, 'probing') && gate.mayStart(now);
    if (record === undefined || record.cancelRequested || anchor === undefined || !open) {
      return undefined;
    }
    if (now - anchor.receivedAt > REPORT_MAX_AGE_MS) {
      table.setHold(worker, 'unreachable', true);
      return undefined;
    }
    const validBeforeMs = orderDeadline(anchor, now);
    const { incarnation } = anchor;
    const latestExpiry = latestExpiryOf(anchor, validBeforeMs, LEASE_TTL_MS);
    const startDeadlineMs = validBeforeMs;
    leaseTable.update(task.id, { phase: 'sent', latestExpiry, incarnation, startDeadlineMs });
    this.#renewals.setIfAbsent(worker, now + RENEW_INTERVAL_MS);
    const { command, resources } = task;
    const ttlMs = LEASE_TTL_MS;
    const { resume } = record;
    return { id: task.id, fence, ttlMs, validBeforeMs, incarnation, command, resources, resume };
  }

  #renew(worker: InstanceName, now: Millis): void {
    const { table, leaseTable, gate, out } = this.#state;
    const leases = leaseTable.onWorker(worker).filter((lease) => isRenewable(lease));
    if (leases.length === 0) {
      return;
    }
    this.#renewals.set(worker, now + RENEW_INTERVAL_MS);
    const anchor = table.get(worker)?.anchor;
    if (anchor === undefined || table.hasHold(worker, 'unreachable') || !gate.maySend(now)) {
      return;
    }
    if (now - anchor.receivedAt > REPORT_MAX_AGE_MS) {
      return;
    }
    const validBeforeMs = orderDeadline(anchor, now);
    const latestExpiry = latestExpiryOf(anchor, validBeforeMs, LEASE_TTL_MS);
    const renewals = leases.map((lease) => this.#renewOne(lease, validBeforeMs, latestExpiry, now));
    const sendBefore = gate.sendBefore(now, SEND_WINDOW_MS);
    out.push({ type: 'renew', worker, epoch: gate.epoch, renewals, sendBefore });
  }

  #renewOne(lease: Lease, validBeforeMs: Millis, latestExpiry: Millis, now: Millis): RenewOrder {
    const { leaseTable } = this.#state;
    const { task, fence } = lease;
    const extendedExpiry = Math.max(latestExpiry, lease.latestExpiry ?? latestExpiry);
    const extended = leaseTable.update(task.id, { latestExpiry: extendedExpiry }) ?? lease;
    const { throttled } = this.#liftThrottle(extended, now);
    const ttlMs = LEASE_TTL_MS;
    return { id: task.id, fence, ttlMs, validBeforeMs, throttled: throttled !== undefined };
  }

  /** Lifts a throttle once the worker has enough free processors. */
  #liftThrottle(lease: Lease, now: Millis): Lease {
    const { table, leaseTable } = this.#state;
    const kept = lease.throttled === undefined || now - lease.throttled.at < THROTTLE_MIN_MS;
    if (kept || table.available(lease.worker).processors < lease.freedProcessors) {
      return lease;
    }
    const processors = lease.size.processors + lease.freedProcessors;
    this.resize(lease, { ...lease.size, processors }, lease.charge);
    return leaseTable.update(lease.task.id, { throttled: undefined, freedProcessors: 0 }) ?? lease;
  }

  #allocate(lease: Lease): void {
    const { table, ledger, queues, leaseTable } = this.#state;
    leaseTable.add(lease);
    table.allocate(lease.worker, lease.size);
    ledger.allocate(lease.task.team, lease.size, lease.charge);
    queues.rerank(lease.task.team);
  }

  #release(lease: Lease): void {
    const { table, ledger, queues, leaseTable } = this.#state;
    const current = leaseTable.get(lease.task.id) ?? lease;
    leaseTable.remove(lease.task.id);
    table.release(current.worker, current.size);
    ledger.release(current.task.team, current.size, current.charge);
    queues.rerank(current.task.team);
  }
}

const NEW_LEASE = {
  phase: 'planned',
  size: NO_RESOURCES,
  charge: NO_RESOURCES,
  latestExpiry: undefined,
  incarnation: undefined,
  startDeadlineMs: undefined,
  throttled: undefined,
  freedProcessors: 0,
  stopping: undefined,
  ignoresCheckpoint: false,
} as const;

/**
 * A lease that its worker has not confirmed is left to expire, since the task may never have
 * started. So is one that is being stopped, in case the stop order is lost.
 */
function isRenewable(lease: Lease): boolean {
  return lease.phase === 'running' && lease.stopping?.mode !== 'stop';
}
