import type { InstanceName, Millis, TaskId } from '../types/index.js';
import { NOTHING, subtract } from './amounts.js';
import { DueQueue } from './due-queue.js';
import type { Lease } from './lease-book.js';
import {
  LEASE_TTL_MS,
  RENEW_MS,
  REPORT_MAX_AGE_MS,
  SEND_WINDOW_MS,
  sureEndOf,
  sureEndOfFormer,
  validBefore,
} from './lease-timing.js';
import type { LeaseOrder, RenewOrder } from './messages.js';
import type { Fence, Resources, TaskLogEvent, TaskRecord } from './model.js';
import type { PoolState } from './pool-state.js';
import { sameFence } from './task-store.js';

type ReturnCause = Extract<TaskLogEvent, { type: 'returned' }>['cause'];
type EndState = Extract<TaskLogEvent, { type: 'ended' }>['state'];

/** Time for which a throttle is kept at least, so that it does not flap. */
const THROTTLE_MIN_MS = 3_000;

/** Plans, sends, renews and ends leases; keeps workers, shares, queues and the log in step. */
export class LeaseKeeper {
  readonly #state: PoolState;
  readonly #renewals = new DueQueue<InstanceName>();
  #sequence = 0;

  constructor(state: PoolState) {
    this.#state = state;
  }

  /** Reserves room for a waiting task and logs its lease, which is sent once that is confirmed. */
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
    this.#take({ ...BLANK, task, fence, worker, size, charge, since: now });
  }

  /** Takes over the lease of a former owner. */
  adopt(record: TaskRecord, now: Millis): void {
    const { task, lease } = record;
    if (lease === undefined) {
      return;
    }
    const { fence, worker, ttlMs } = lease;
    const sureEnd = sureEndOfFormer(now, ttlMs);
    const size = task.resources;
    const base = { ...BLANK, task, fence, worker, size, charge: size, since: now };
    this.#take({ ...base, phase: 'sent', sureEnd });
  }

  /** Sends planned leases whose log events are confirmed, after checking again that each may start. */
  send(orders: readonly { readonly id: TaskId; readonly fence: Fence }[], now: Millis): void {
    const byWorker = new Map<InstanceName, LeaseOrder[]>();
    for (const { id, fence } of orders) {
      const lease = this.#state.book.get(id);
      if (lease?.phase === 'planned' && sameFence(lease.fence, fence)) {
        const order = this.#orderFor(lease, now);
        if (order === undefined) {
          this.giveBack(lease, 'not-started', now);
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

  /** Renews the leases of each worker whose time has come, and settles those that have lapsed. */
  tick(now: Millis): void {
    const { book } = this.#state;
    for (let lease = book.takeEnded(now); lease !== undefined; lease = book.takeEnded(now)) {
      this.lost(lease, now);
    }
    const due = this.#renewals;
    for (let worker = due.takeDue(now); worker !== undefined; worker = due.takeDue(now)) {
      this.#renew(worker, now);
    }
  }

  /** The lease has surely ended and its outcome is not known. */
  lost(lease: Lease, now: Millis): void {
    if (lease.task.idempotent) {
      this.giveBack(lease, 'lost', now);
    } else {
      this.end(lease, 'unknown', `the lease on ${lease.worker} ended without an outcome`);
    }
  }

  /** The lease has ended and the task waits again, unless it was cancelled meanwhile. */
  giveBack(lease: Lease, cause: ReturnCause, now: Millis): void {
    const { log, queues } = this.#state;
    const { task, fence } = lease;
    if (log.get(task.id)?.cancelRequested === true) {
      this.end(lease, 'cancelled', 'cancelled');
      return;
    }
    this.#release(lease);
    log.write({ type: 'returned', id: task.id, fence, cause });
    queues.add(task, now, true);
  }

  /** The lease has ended and so has the task. */
  end(lease: Lease, state: EndState, detail: string): void {
    this.#release(lease);
    this.#state.log.write({ type: 'ended', id: lease.task.id, state, detail });
  }

  /** Changes what a running task occupies. */
  resize(lease: Lease, size: Resources, charge: Resources): Lease {
    const { book, table, ledger, queues } = this.#state;
    const difference = subtract(size, lease.size);
    table.resize(lease.worker, difference);
    ledger.resize(lease.task.team, difference, subtract(charge, lease.charge));
    queues.rerank(lease.task.team);
    return book.change(lease.task.id, { size, charge }) ?? lease;
  }

  /** The worker runs the task. */
  running(lease: Lease, incarnation: string, now: Millis): void {
    const { book } = this.#state;
    if (lease.phase !== 'running') {
      const startsBeforeMs = lease.startsBeforeMs ?? -Infinity;
      book.change(lease.task.id, { phase: 'running', incarnation, startsBeforeMs });
    }
    this.#renewals.setIfAbsent(lease.worker, now);
  }

  #orderFor(lease: Lease, now: Millis): LeaseOrder | undefined {
    const { table, log, book, gate, ledger } = this.#state;
    const { task, fence, worker } = lease;
    const record = log.get(task.id);
    const anchor = table.get(worker)?.anchor;
    const allowed = ledger.isWithinAllowance(task.team);
    const open = allowed && table.isOpen(worker, 'probing') && gate.mayStart(now);
    if (record === undefined || record.cancelRequested || anchor === undefined || !open) {
      return undefined;
    }
    if (now - anchor.receivedAt > REPORT_MAX_AGE_MS) {
      table.setHold(worker, 'unreachable', true);
      return undefined;
    }
    const validBeforeMs = validBefore(anchor, now);
    const { incarnation } = anchor;
    const sureEnd = sureEndOf(anchor, validBeforeMs, LEASE_TTL_MS);
    const startsBeforeMs = validBeforeMs;
    book.change(task.id, { phase: 'sent', sureEnd, incarnation, startsBeforeMs });
    this.#renewals.setIfAbsent(worker, now + RENEW_MS);
    const { command, resources } = task;
    const ttlMs = LEASE_TTL_MS;
    const { resume } = record;
    return { id: task.id, fence, ttlMs, validBeforeMs, incarnation, command, resources, resume };
  }

  #renew(worker: InstanceName, now: Millis): void {
    const { table, book, gate, out } = this.#state;
    const leases = book.onWorker(worker).filter((lease) => isRenewed(lease));
    if (leases.length === 0) {
      return;
    }
    this.#renewals.set(worker, now + RENEW_MS);
    const anchor = table.get(worker)?.anchor;
    if (anchor === undefined || table.isHeld(worker, 'unreachable') || !gate.maySend(now)) {
      return;
    }
    if (now - anchor.receivedAt > REPORT_MAX_AGE_MS) {
      return;
    }
    const validBeforeMs = validBefore(anchor, now);
    const sureEnd = sureEndOf(anchor, validBeforeMs, LEASE_TTL_MS);
    const renewals = leases.map((lease) => this.#renewOne(lease, validBeforeMs, sureEnd, now));
    const sendBefore = gate.sendBefore(now, SEND_WINDOW_MS);
    out.push({ type: 'renew', worker, epoch: gate.epoch, renewals, sendBefore });
  }

  #renewOne(lease: Lease, validBeforeMs: Millis, sureEnd: Millis, now: Millis): RenewOrder {
    const { book } = this.#state;
    const { task, fence } = lease;
    const later = Math.max(sureEnd, lease.sureEnd ?? sureEnd);
    const extended = book.change(task.id, { sureEnd: later }) ?? lease;
    const { throttled } = this.#liftThrottle(extended, now);
    const ttlMs = LEASE_TTL_MS;
    return { id: task.id, fence, ttlMs, validBeforeMs, throttled: throttled !== undefined };
  }

  /** Lets a throttled task run freely again when its worker has the room. */
  #liftThrottle(lease: Lease, now: Millis): Lease {
    const { table, book } = this.#state;
    const kept = lease.throttled === undefined || now - lease.throttled.at < THROTTLE_MIN_MS;
    if (kept || table.room(lease.worker).processors < lease.givenUp) {
      return lease;
    }
    const processors = lease.size.processors + lease.givenUp;
    this.resize(lease, { ...lease.size, processors }, lease.charge);
    return book.change(lease.task.id, { throttled: undefined, givenUp: 0 }) ?? lease;
  }

  #take(lease: Lease): void {
    const { table, ledger, queues, book } = this.#state;
    book.add(lease);
    table.take(lease.worker, lease.size);
    ledger.take(lease.task.team, lease.size, lease.charge);
    queues.rerank(lease.task.team);
  }

  #release(lease: Lease): void {
    const { table, ledger, queues, book } = this.#state;
    const current = book.get(lease.task.id) ?? lease;
    book.remove(lease.task.id);
    table.release(current.worker, current.size);
    ledger.release(current.task.team, current.size, current.charge);
    queues.rerank(current.task.team);
  }
}

const BLANK = {
  phase: 'planned',
  size: NOTHING,
  charge: NOTHING,
  sureEnd: undefined,
  incarnation: undefined,
  startsBeforeMs: undefined,
  throttled: undefined,
  givenUp: 0,
  stopping: undefined,
  ignoresCheckpoint: false,
} as const;

/**
 * A lease that its worker has not shown to run is left to lapse, since it may never have started. So
 * is one that is being stopped, in case the order to stop is lost.
 */
function isRenewed(lease: Lease): boolean {
  return lease.phase === 'running' && lease.stopping?.mode !== 'stop';
}
