import type { Millis, PoolName, ZoneName } from '../types/index.js';
import type { CellTables } from './cell-tables.js';
import { InstanceLender, type InstanceLenderOptions } from './lending.js';
import { MaintenancePlanner, type MaintenanceDependencies } from './maintenance.js';
import type { InstanceOrder, InstanceOrderOutcome, JobDecision, PoolInstance } from './messages.js';
import type { ExecutorId, PoolPolicy } from './model.js';
import { OrderHandover, type HeldInstance } from './order-handover.js';

export interface InstanceOrdersOptions extends InstanceLenderOptions {
  /** Monotonic time from which no order of a former owner conflicts. */
  readonly ordersAllowedAt: Millis;
}

interface AcceptedOrder {
  readonly executor: ExecutorId;
  readonly answeredAt: Millis;
}

/** Decides which instances are maintained or moved, and tells which executors end by that. */
export class InstanceOrders {
  readonly maintenance: MaintenancePlanner;
  readonly lender: InstanceLender;
  readonly #executors: CellTables['executors'];
  readonly #handover: OrderHandover;
  /** Instances with an accepted order to maintain or move, until a later list shows the effect. */
  readonly #accepted = new Map<string, AcceptedOrder>();

  constructor(parts: MaintenanceDependencies, options: InstanceOrdersOptions) {
    this.#executors = parts.executors;
    this.#handover = new OrderHandover(options.ordersAllowedAt);
    this.maintenance = new MaintenancePlanner(parts, this.#handover);
    this.lender = new InstanceLender(parts, this.#handover, options);
  }

  /** Takes the instances that orders of former owners concern; all others are free at once. */
  setHeld(held: readonly HeldInstance[]): void {
    this.#handover.setHeld(held);
  }

  /**
   * Takes a list of the instances. Returns the executors that have ended by an accepted order. An
   * order that an earlier owner had already carried out is answered like one that takes effect now,
   * so only a list requested after the answer tells whether the executor has ended.
   */
  setInstances(instances: readonly PoolInstance[], requestedAt: Millis): readonly ExecutorId[] {
    const ended = this.#resolveAccepted(instances, requestedAt);
    this.maintenance.setInstances(instances, requestedAt);
    this.lender.setInstances(instances, requestedAt);
    return ended;
  }

  answered(
    order: InstanceOrder,
    outcome: InstanceOrderOutcome,
    now: Millis,
  ): readonly JobDecision[] {
    const orderedBy = order.type === 'move' ? this.lender : this.maintenance;
    const executor = orderedBy.orderedExecutor(order.instance);
    if (outcome === 'done' && executor !== undefined) {
      this.#executors.update(executor, { shutdownPending: true });
      this.#accepted.set(order.instance, { executor, answeredAt: now });
    }
    this.lender.answered(order, outcome);
    return this.maintenance.answered(order, outcome, now);
  }

  /**
   * `recovering`: whether runs of earlier owners may not be known yet. The disruption budgets of
   * maintenance depend on them. Lending does not: it takes only instances whose executors have
   * reported that they run nothing. It leaves those that are to be maintained, as they would be
   * busy when maintenance goes on.
   */
  plan(
    pools: ReadonlyMap<PoolName, PoolPolicy>,
    zonesOut: ReadonlySet<ZoneName>,
    recovering: boolean,
    now: Millis,
  ): readonly JobDecision[] {
    const maintained = recovering ? [] : this.maintenance.plan(zonesOut, now);
    const reserved = (instance: string): boolean =>
      this.maintenance.isReserved(instance) || (recovering && this.maintenance.isDue(instance));
    return [...maintained, ...this.lender.plan(pools, reserved, now)];
  }

  #resolveAccepted(instances: readonly PoolInstance[], requestedAt: Millis): readonly ExecutorId[] {
    const ended: ExecutorId[] = [];
    for (const [name, { executor, answeredAt }] of [...this.#accepted]) {
      if (requestedAt <= answeredAt) {
        continue;
      }
      this.#accepted.delete(name);
      const instance = instances.find((one) => one.name === name);
      if (instance?.state === 'up' && instance.executor === executor) {
        this.#executors.update(executor, { shutdownPending: false, cordoned: false });
      } else {
        ended.push(executor);
      }
    }
    return ended;
  }
}
