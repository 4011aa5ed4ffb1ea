import PQueue from 'p-queue';
import type {
  Clock,
  InstanceOrder,
  InstanceOrderOutcome,
  JobEvent,
  Millis,
  WaitingInstance,
} from '@turmerichoist/core';
import type { ActorContext, Recipient } from '@turmerichoist/runtime';
import type { InstanceFleet } from './ports.js';

/** Polling periods of the list of instances, while maintenance is in progress and otherwise. */
const POLL_MS: Millis = 500;
const IDLE_POLL_MS: Millis = 1_000;
/**
 * Orders that are sent at once. Clients send as many calls without delay: an order that waited there
 * would be sent after this member has ceased to lead, too.
 */
export const MAX_ORDERS_IN_FLIGHT = 4;
/** An order that has waited longer is decided anew, since tasks may run on the instance by then. */
const MAX_ORDER_WAIT_MS: Millis = 500;

export interface InstanceControlOptions {
  readonly fleet: InstanceFleet;
  /** Sent with each order. */
  readonly epoch: number;
  /** Whether the owner holds its lease now; checked directly before each order. */
  readonly mayAct: () => boolean;
  readonly clock: Clock;
  readonly owner: Recipient<JobEvent>;
}

/** Progress of maintenance, as the decider sees it. */
export interface MaintenanceStatus {
  readonly maintaining: boolean;
  readonly waitingInstances: readonly WaitingInstance[];
}

/** Lists the platform's instances for one owner and carries its orders to them. */
export class InstanceControl {
  readonly #options: InstanceControlOptions;
  readonly #context: ActorContext;
  readonly #orders = new PQueue({ concurrency: MAX_ORDERS_IN_FLIGHT });
  #polledAt: Millis = -Infinity;
  #polling = false;

  constructor(options: InstanceControlOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
  }

  /**
   * Sends an order when few enough are in flight and posts the answer to the owner. The next poll
   * shows its effect.
   */
  async order(order: InstanceOrder): Promise<void> {
    const { epoch, owner, clock } = this.#options;
    const { log } = this.#context;
    const decidedAt = clock.now();
    const outcome = await this.#orders.add(() => this.#send(order, decidedAt));
    log.info('instance ordered', { ...order, outcome, epoch });
    owner.post({ type: 'order-answer', order, outcome });
    this.#polledAt = -Infinity;
  }

  /** Returns `busy` for an order that may not be sent any more. */
  async #send(order: InstanceOrder, decidedAt: Millis): Promise<InstanceOrderOutcome> {
    const { fleet, epoch, mayAct, clock } = this.#options;
    const { signal } = this.#context;
    const outdated = clock.now() - decidedAt > MAX_ORDER_WAIT_MS;
    return outdated || signal.aborted || !mayAct() ? 'busy' : fleet.order(order, epoch, signal);
  }

  /** Lists the instances if the latest list is older than the polling period. */
  pollIfDue(status: MaintenanceStatus): void {
    const now = this.#options.clock.now();
    const periodMs = status.maintaining ? POLL_MS : IDLE_POLL_MS;
    if (!this.#polling && now - this.#polledAt >= periodMs) {
      void this.#poll(now, status);
    }
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
    const waiting = status.waitingInstances;
    if (waiting.length > 0) {
      this.#context.log.info('maintenance is waiting', { waiting });
    }
  }
}
