import type { InstanceName, Millis, TaskId } from '../types/index.js';
import { fitsIn } from './resource-arithmetic.js';
import type { Resources, TaskRecord } from './model.js';
import type { PoolState } from './pool-state.js';
import { Preemption, type PreemptionPlan } from './preemption.js';
import type { StopOrders } from './stop-orders.js';
import { isWaiting } from './task-store.js';

/** Time for a victim to write its checkpoint before it is stopped for urgent work. */
const URGENT_GRACE_MS = 400;
/** Time for a victim to write its checkpoint when it is preempted for another team's share. */
const SHARE_GRACE_MS = 10_000;
/** Age at which a reservation is released if the task still does not fit. */
const RESERVATION_TIMEOUT_MS = 20_000;
/** Waiting time after which a task that does not fit gets a worker reserved without preemption. */
const RESERVE_AFTER_MS = 10_000;
/** Limit of reservations for work that is not urgent: a fraction of the pool, with a minimum. */
const MAX_RESERVED_FRACTION = 0.05;
const MIN_RESERVATION_LIMIT = 4;

interface Reservation {
  readonly id: TaskId;
  readonly worker: InstanceName;
  readonly since: Millis;
  readonly urgent: boolean;
  readonly victims: readonly TaskId[];
  /** Owner's clock when the task began to wait. */
  readonly waitsSince: Millis;
}

/**
 * Reserves workers for tasks that do not fit, and preempts other tasks there. A task with a
 * reservation is not in its team's queue, so that the next task of the team can be considered.
 */
export class WorkerReservations {
  readonly #state: PoolState;
  readonly #stops: StopOrders;
  readonly #preemption: Preemption;
  readonly #reservations = new Map<TaskId, Reservation>();
  #nonUrgentCount = 0;

  constructor(state: PoolState, stops: StopOrders) {
    this.#state = state;
    this.#stops = stops;
    this.#preemption = new Preemption(state);
  }

  /** Returns the worker that is reserved for a task. */
  reservedWorker(id: TaskId): InstanceName | undefined {
    return this.#reservations.get(id)?.worker;
  }

  reservedTasks(): readonly TaskId[] {
    return [...this.#reservations.keys()];
  }

  /**
   * Reserves a worker for the task and preempts its victims; returns undefined if none is suitable.
   */
  reserve(
    record: TaskRecord,
    size: Resources,
    since: Millis,
    now: Millis,
  ): InstanceName | undefined {
    const urgent = record.task.workClass === 'urgent';
    const limit = Math.max(MIN_RESERVATION_LIMIT, this.#state.table.size * MAX_RESERVED_FRACTION);
    if (this.#reservations.has(record.task.id) || (!urgent && this.#nonUrgentCount >= limit)) {
      return undefined;
    }
    const plan =
      this.#preemption.plan(record, size, now) ??
      this.#planWithoutVictims(record, size, since, now);
    if (plan === undefined) {
      return undefined;
    }
    this.#preemptVictims(plan, urgent, now);
    const victims = plan.victims.map(({ task }) => task.id);
    const { id } = record.task;
    const reservation = { id, worker: plan.worker, since: now, urgent, victims, waitsSince: since };
    this.#reservations.set(id, reservation);
    this.#state.queues.remove(record.task);
    this.#nonUrgentCount += urgent ? 0 : 1;
    this.#state.table.reserve(plan.worker, id);
    return plan.worker;
  }

  /** Releases a reservation. A task that still waits goes back to the front of its queue. */
  release(id: TaskId): void {
    const reservation = this.#reservations.get(id);
    if (reservation === undefined) {
      return;
    }
    this.#reservations.delete(id);
    this.#nonUrgentCount -= reservation.urgent ? 0 : 1;
    this.#state.table.reserve(reservation.worker, undefined);
    const record = this.#state.log.get(id);
    if (record !== undefined && isWaiting(record.state)) {
      this.#state.queues.add(record.task, reservation.waitsSince, true);
    }
  }

  /** Escalates against victims that miss their grace period, and releases obsolete reservations. */
  tick(now: Millis): void {
    for (const reservation of [...this.#reservations.values()]) {
      const record = this.#state.log.get(reservation.id);
      const waits = record !== undefined && isWaiting(record.state);
      const schedulable = this.#state.table.isSchedulable(reservation.worker);
      if (!waits || !schedulable || now - reservation.since > RESERVATION_TIMEOUT_MS) {
        this.release(reservation.id);
      } else {
        this.#escalate(reservation, now);
      }
    }
  }

  #preemptVictims(plan: PreemptionPlan, urgent: boolean, now: Millis): void {
    const reason = urgent ? 'urgent-work' : 'share-called-back';
    for (const victim of plan.victims) {
      if (plan.mode === 'throttle') {
        this.#stops.throttle(victim, reason, now);
      } else {
        this.#stops.checkpoint(victim, reason, now);
      }
    }
  }

  #escalate(reservation: Reservation, now: Millis): void {
    const grace = reservation.urgent ? URGENT_GRACE_MS : SHARE_GRACE_MS;
    for (const id of reservation.victims) {
      const lease = this.#state.leaseTable.get(id);
      const late = lease?.stopping?.mode === 'checkpoint' && now - lease.stopping.at >= grace;
      if (lease === undefined || !late) {
        continue;
      }
      this.#state.leaseTable.update(id, { ignoresCheckpoint: true });
      if (reservation.urgent) {
        this.#stops.stop(lease, 'urgent-work', now);
      }
    }
  }

  /**
   * Picks the matching worker with the most free processors for a task that has waited for long.
   */
  #planWithoutVictims(
    record: TaskRecord,
    size: Resources,
    since: Millis,
    now: Millis,
  ): PreemptionPlan | undefined {
    if (now - since < RESERVE_AFTER_MS) {
      return undefined;
    }
    const { table } = this.#state;
    let best: { readonly worker: InstanceName; readonly free: number } | undefined;
    for (const { name, capacity, reservedFor } of table.all()) {
      const free = table.available(name).processors;
      const eligible =
        reservedFor === undefined &&
        fitsIn(size, capacity) &&
        table.isSchedulable(name) &&
        !record.failedOn.includes(name) &&
        table.index.matches(name, record.task.constraints);
      if (eligible && free > (best?.free ?? -Infinity)) {
        best = { worker: name, free };
      }
    }
    return best && { worker: best.worker, mode: 'throttle', victims: [] };
  }
}
