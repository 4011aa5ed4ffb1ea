import type { InstanceName, PoolName } from '../types/index.js';
import type { BudgetLedger } from './budget-ledger.js';
import type { FleetView } from './fleet-view.js';
import type { FleetDecision } from './messages.js';
import type { Fence } from './rows.js';
import { closedByZone } from './zone-controller.js';

interface Sent extends Fence {
  readonly on: boolean;
}

/** Instances of the pool on which no work may start. */
export function closedInstances(
  pool: PoolName,
  view: FleetView,
  ledger: BudgetLedger,
): ReadonlySet<InstanceName> {
  const instances = view.instancesOf(pool);
  const isOut = view.isZoneOut.bind(view);
  const byZone = closedByZone(instances, ledger.budget(pool), isOut);
  const declared = instances.filter(({ spec }) => spec.cordoned).map(({ name }) => name);
  const held = ledger.plannedEntriesIn(pool).map((entry) => entry.instance);
  return new Set([...byZone, ...declared, ...held]);
}

/** Keeps the cordon of each owned instance as the rows and the configuration say. */
export class Cordons {
  readonly #sent = new Map<InstanceName, Sent>();

  /** The cordons that differ from what was sent last under this fence. */
  update(fence: Fence, view: FleetView, ledger: BudgetLedger): readonly FleetDecision[] {
    const closed = closedInstances(fence.role, view, ledger);
    const decisions: FleetDecision[] = [];
    for (const { name } of view.instancesOf(fence.role)) {
      const on = closed.has(name);
      if (!this.#isSent(name, on, fence)) {
        this.#sent.set(name, { ...fence, on });
        decisions.push({ type: 'cordon', instance: name, on, fence });
      }
    }
    return decisions;
  }

  /** An instance that rebooted has lost its cordon. */
  forget(instance: InstanceName): void {
    this.#sent.delete(instance);
  }

  #isSent(name: InstanceName, on: boolean, { role, epoch }: Fence): boolean {
    const sent = this.#sent.get(name);
    return sent?.on === on && sent.role === role && sent.epoch === epoch;
  }
}
