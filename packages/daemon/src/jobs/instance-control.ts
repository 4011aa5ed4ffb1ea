import PQueue from 'p-queue';
import {
  ORDER_SETTLE_MS,
  type Clock,
  type InstanceOrder,
  type InstanceOrderOutcome,
  type JobEvent,
  type Millis,
  type WaitingInstance,
} from '@turmerichoist/core';
import type { LeaderTerm, TableStore } from '@turmerichoist/coordination';
import type { ActorContext, Metrics, Recipient } from '@turmerichoist/runtime';
import type { Bulletin } from './bulletin.js';
import { OrderAnnouncer } from './order-announcer.js';
import type { InstanceFleet } from './ports.js';

/** Polling periods of the list of instances, while maintenance is in progress and otherwise. */
const POLL_MS: Millis = 500;
const IDLE_POLL_MS: Millis = 1_000;
/** Orders on their way at once. One that waits for others may find the lease lapsed when it is sent. */
export const ORDER_CONCURRENCY = 32;
/** Age of a decision after which its order is not sent, as what it rests on may have changed. */
const MAX_ORDER_AGE_MS: Millis = 1_000;

export interface InstanceControlOptions {
  readonly fleet: InstanceFleet;
  readonly term: LeaderTerm;
  /** Name of this member, the lease holder of its orders. */
  readonly holder: string;
  /** Store for announced orders, with a transaction log of its own. */
  readonly store: TableStore;
  /** Last bulletin of the previous leader. */
  readonly inheritedBulletin: Bulletin;
  /** Time for which orders of two holders to one instance conflict. */
  readonly orderHandoverMs: Millis;
  /** Whether the owner holds its lease now; checked directly before each order is sent. */
  readonly mayAct: () => boolean;
  readonly clock: Clock;
  readonly metrics: Metrics;
  readonly newId: () => string;
  readonly owner: Recipient<JobEvent>;
}

/** Progress of maintenance, as the decider sees it. */
export interface MaintenanceStatus {
  readonly maintaining: boolean;
  readonly waitingInstances: readonly WaitingInstance[];
}

/** Lists the platform's instances for one owner and carries its orders to them. */
export class InstanceControl {
  /** Monotonic time from which no order of a former owner conflicts, whatever it concerns. */
  readonly ordersAllowedAt: Millis;
  readonly #options: InstanceControlOptions;
  readonly #context: ActorContext;
  readonly #announcer: OrderAnnouncer;
  readonly #queue = new PQueue({ concurrency: ORDER_CONCURRENCY });
  /** Monotonic time from which announced orders are complete whatever former owners announced. */
  readonly #announcedFrom: Millis;
  #polledAt: Millis = -Infinity;
  #polling = false;

  constructor(options: InstanceControlOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
    const { term, clock, orderHandoverMs } = options;
    const electedAt = clock.now();
    this.ordersAllowedAt = electedAt + this.#handoverMs();
    this.#announcedFrom = term.generation === 0 ? electedAt : electedAt + orderHandoverMs;
    this.#announcer = new OrderAnnouncer({ ...options, epoch: term.epoch, electedAt }, context);
  }

  /** Whether instances that the announced orders don't name can be ordered about at once. */
  get announcesOrders(): boolean {
    return this.#formerAnnounced || this.#options.clock.now() >= this.#announcedFrom;
  }

  /** Whether no order of a former owner can conflict any more. */
  get mayOrder(): boolean {
    return this.#options.clock.now() >= this.ordersAllowedAt;
  }

  /** Reads which instances former owners have ordered about, if all of them announced it. */
  async start(): Promise<void> {
    if (this.#options.term.generation > 0 && this.#formerAnnounced) {
      await this.#announcer.loadFormer();
    }
  }

  /** Sends an order and posts the answer to the owner. The next poll shows its effect. */
  async order(order: InstanceOrder): Promise<void> {
    const { term, owner, clock } = this.#options;
    const decidedAt = clock.now();
    const announced = await this.#announcer.announce(order.instance);
    const announcedAt = clock.now();
    const outcome = announced
      ? await this.#queue.add(() => this.#send(order, decidedAt))
      : ('not-sent' as const);
    this.#announcer.ended(order.instance, outcome !== 'unknown');
    this.#context.log.info('instance ordered', {
      ...order,
      outcome,
      epoch: term.epoch,
      announcedMs: Math.round(announcedAt - decidedAt),
      answeredMs: Math.round(clock.now() - announcedAt),
    });
    owner.post({ type: 'order-answer', order, outcome });
    this.#polledAt = -Infinity;
  }

  /** Removes announced instances that the next owner need not know any more. */
  removeExpired(): void {
    this.#announcer.removeExpired();
  }

  /** Lists the instances if the latest list is older than the polling period. */
  pollIfDue(status: MaintenanceStatus): void {
    const now = this.#options.clock.now();
    const periodMs = status.maintaining ? POLL_MS : IDLE_POLL_MS;
    if (!this.#polling && now - this.#polledAt >= periodMs) {
      void this.#poll(now, status);
    }
  }

  get #formerAnnounced(): boolean {
    return this.#options.inheritedBulletin.announcesOrders === true;
  }

  /** Time after the election in which orders of former owners may conflict. */
  #handoverMs(): Millis {
    const { term, inheritedBulletin, orderHandoverMs } = this.#options;
    if (term.generation === 0) {
      return 0;
    }
    if (this.#formerAnnounced) {
      return orderHandoverMs + ORDER_SETTLE_MS;
    }
    // Orders of an earlier process of this member have the same holder: no handover time.
    const sameHolder = term.succeedsSelf && inheritedBulletin.mayOrder;
    return sameHolder ? ORDER_SETTLE_MS : orderHandoverMs;
  }

  /** Returns `not-sent` for an order that may not be sent any more. */
  async #send(order: InstanceOrder, decidedAt: Millis): Promise<InstanceOrderOutcome> {
    const { fleet, term, mayAct, clock } = this.#options;
    const { signal } = this.#context;
    const isWanted = (): boolean => clock.now() - decidedAt <= MAX_ORDER_AGE_MS && mayAct();
    return signal.aborted || !isWanted()
      ? 'not-sent'
      : fleet.order(order, term.epoch, { isWanted, signal });
  }

  async #poll(now: Millis, status: MaintenanceStatus): Promise<void> {
    const { fleet, owner } = this.#options;
    this.#polling = true;
    this.#polledAt = now;
    const listed = await fleet.list(this.#context.signal);
    this.#polling = false;
    if (listed.isOk()) {
      owner.post({ type: 'instances', instances: listed.value, requestedAt: now });
    }
    this.#logWaiting(status.waitingInstances);
  }

  /** Instances left for after a peak may be most of a wave, so they are only counted. */
  #logWaiting(instances: readonly WaitingInstance[]): void {
    const waiting = instances.filter(({ reason }) => reason !== 'peak');
    const deferred = instances.length - waiting.length;
    this.#options.metrics.gauge('maintenance.deferred', deferred);
    if (instances.length > 0) {
      this.#context.log.info('maintenance is waiting', { waiting, deferred });
    }
  }
}
