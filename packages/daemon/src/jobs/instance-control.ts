import type { Clock, InstanceOrder, JobEvent, Millis, WaitingInstance } from '@turmerichoist/core';
import type { ActorContext, Recipient } from '@turmerichoist/runtime';
import type { InstanceFleet } from './ports.js';

/** Polling periods of the list of instances, while maintenance is in progress and otherwise. */
const POLL_MS: Millis = 500;
const IDLE_POLL_MS: Millis = 1_000;

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
  #polledAt: Millis = -Infinity;
  #polling = false;

  constructor(options: InstanceControlOptions, context: ActorContext) {
    this.#options = options;
    this.#context = context;
  }

  /** Sends an order and posts the answer to the owner. The next poll shows its effect. */
  async order(order: InstanceOrder): Promise<void> {
    const { fleet, epoch, mayAct, owner } = this.#options;
    const { log, signal } = this.#context;
    const outcome = mayAct() ? await fleet.order(order, epoch, signal) : 'busy';
    log.info('instance ordered', { ...order, outcome, epoch });
    owner.post({ type: 'order-answer', order, outcome });
    this.#polledAt = -Infinity;
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
