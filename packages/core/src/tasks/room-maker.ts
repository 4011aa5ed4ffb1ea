import type { InstanceName, Millis, TaskId } from '../types/index.js';
import { fitsIn } from './amounts.js';
import type { Resources, TaskRecord } from './model.js';
import type { PoolState } from './pool-state.js';
import { Preemption, type PreemptionPlan } from './preemption.js';
import type { StopOrders } from './stop-orders.js';
import { isWaiting } from './task-store.js';

/** Time that a task has to write its checkpoint before it is stopped for urgent work. */
const URGENT_GRACE_MS = 400;
/** The same when it makes room for another team's share. */
const SHARE_GRACE_MS = 10_000;
/** Time after which a worker is no longer kept for a task that still does not fit. */
const KEEP_MS = 20_000;
/** Age of a task that does not fit at which a worker is kept for it until others have ended. */
const KEEP_AFTER_MS = 10_000;
/** Workers kept at once for other than urgent work: this part of the pool, and a few at least. */
const KEPT_PART = 0.05;
const KEPT_MIN = 4;

interface Claim {
  readonly id: TaskId;
  readonly worker: InstanceName;
  readonly since: Millis;
  readonly urgent: boolean;
  readonly victims: readonly TaskId[];
  /** When the task began to wait. */
  readonly waitsSince: Millis;
}

/**
 * Keeps workers for tasks that do not fit, and moves other tasks away from them. A task with a kept
 * worker is not in its team's queue, so that the next one can be considered.
 */
export class RoomMaker {
  readonly #state: PoolState;
  readonly #stops: StopOrders;
  readonly #preemption: Preemption;
  readonly #claims = new Map<TaskId, Claim>();
  #others = 0;

  constructor(state: PoolState, stops: StopOrders) {
    this.#state = state;
    this.#stops = stops;
    this.#preemption = new Preemption(state);
  }

  /** The worker that is kept for a task. */
  keptFor(id: TaskId): InstanceName | undefined {
    return this.#claims.get(id)?.worker;
  }

  claims(): readonly TaskId[] {
    return [...this.#claims.keys()];
  }

  /** Starts to make room; returns the worker on which there will be, or is at once, room. */
  makeRoom(
    record: TaskRecord,
    size: Resources,
    since: Millis,
    now: Millis,
  ): InstanceName | undefined {
    const urgent = record.task.workClass === 'urgent';
    const most = Math.max(KEPT_MIN, this.#state.table.size * KEPT_PART);
    if (this.#claims.has(record.task.id) || (!urgent && this.#others >= most)) {
      return undefined;
    }
    const plan =
      this.#preemption.plan(record, size, now) ?? this.#waitFor(record, size, since, now);
    if (plan === undefined) {
      return undefined;
    }
    this.#displace(plan, urgent, now);
    const victims = plan.victims.map(({ task }) => task.id);
    const { id } = record.task;
    const claim = { id, worker: plan.worker, since: now, urgent, victims, waitsSince: since };
    this.#claims.set(id, claim);
    this.#state.queues.remove(record.task);
    this.#others += urgent ? 0 : 1;
    this.#state.table.reserve(plan.worker, id);
    return plan.worker;
  }

  /** Ends a claim. A task that still waits goes back to the front of its queue. */
  drop(id: TaskId): void {
    const claim = this.#claims.get(id);
    if (claim === undefined) {
      return;
    }
    this.#claims.delete(id);
    this.#others -= claim.urgent ? 0 : 1;
    this.#state.table.reserve(claim.worker, undefined);
    const record = this.#state.log.get(id);
    if (record !== undefined && isWaiting(record.state)) {
      this.#state.queues.add(record.task, claim.waitsSince, true);
    }
  }

  /** Presses on with claims whose victims are slow, and ends those that lead nowhere. */
  tick(now: Millis): void {
    for (const claim of [...this.#claims.values()]) {
      const record = this.#state.log.get(claim.id);
      const waits = record !== undefined && isWaiting(record.state);
      const usable = this.#state.table.isOpen(claim.worker);
      if (!waits || !usable || now - claim.since > KEEP_MS) {
        this.drop(claim.id);
      } else {
        this.#pressOn(claim, now);
      }
    }
  }

  #displace(plan: PreemptionPlan, urgent: boolean, now: Millis): void {
    const reason = urgent ? 'urgent-work' : 'share-called-back';
    for (const victim of plan.victims) {
      if (plan.mode === 'throttle') {
        this.#stops.throttle(victim, reason, now);
      } else {
        this.#stops.checkpoint(victim, reason, now);
      }
    }
  }

  #pressOn(claim: Claim, now: Millis): void {
    const grace = claim.urgent ? URGENT_GRACE_MS : SHARE_GRACE_MS;
    for (const id of claim.victims) {
      const lease = this.#state.book.get(id);
      const late = lease?.stopping?.mode === 'checkpoint' && now - lease.stopping.at >= grace;
      if (lease === undefined || !late) {
        continue;
      }
      this.#state.book.change(id, { ignoresCheckpoint: true });
      if (claim.urgent) {
        this.#stops.stop(lease, 'urgent-work', now);
      }
    }
  }

  /** The matching worker with the most room, if the task has waited for long. */
  #waitFor(
    record: TaskRecord,
    size: Resources,
    since: Millis,
    now: Millis,
  ): PreemptionPlan | undefined {
    if (now - since < KEEP_AFTER_MS) {
      return undefined;
    }
    const { table } = this.#state;
    let best: { readonly worker: InstanceName; readonly free: number } | undefined;
    for (const { name, capacity, reservedFor } of table.all()) {
      const free = table.room(name).processors;
      const able =
        reservedFor === undefined &&
        fitsIn(size, capacity) &&
        table.isOpen(name) &&
        !record.failedOn.includes(name) &&
        table.index.matches(name, record.task.constraints);
      if (able && free > (best?.free ?? -Infinity)) {
        best = { worker: name, free };
      }
    }
    return best && { worker: best.worker, mode: 'throttle', victims: [] };
  }
}
