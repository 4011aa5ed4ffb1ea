import type { InstanceName, PoolName } from '../types/index.js';
import type { BudgetLedger } from './budget-ledger.js';
import type { FleetView } from './fleet-view.js';
import type { FleetDecision } from './messages.js';
import type { OwnerFence } from './rows.js';
import { unschedulableByZone } from './zone-controller.js';

interface SentCordon extends OwnerFence {
  readonly on: boolean;
}

/** Instances of the pool on which no work may start. */
export function cordonedInstances(
  pool: PoolName,
  view: FleetView,
  ledger: BudgetLedger,
): ReadonlySet<InstanceName> {
  const instances = view.instancesOf(pool);
  const isZoneOut = view.isZoneOut.bind(view);
  const byZone = unschedulableByZone(instances, ledger.budget(pool), isZoneOut);
  const declared = instances.filter(({ spec }) => spec.cordoned).map(({ name }) => name);
  const held = ledger.plannedEntriesIn(pool).map((entry) => entry.instance);
  return new Set([...byZone, ...declared, ...held]);
}

/** Sets the cordon of each owned instance as required by the rows and the configuration. */
export class Cordons {
  readonly #sent = new Map<InstanceName, SentCordon>();

  /** Returns the cordon changes since the last call under this fence. */
  update(fence: OwnerFence, view: FleetView, ledger: BudgetLedger): readonly FleetDecision[] {
    const cordoned = cordonedInstances(fence.role, view, ledger);
    const decisions: FleetDecision[] = [];
    for (const { name } of view.instancesOf(fence.role)) {
      const on = cordoned.has(name);
      if (!this.#isSent(name, on, fence)) {
        this.#sent.set(name, { ...fence, on });
        decisions.push({ type: 'cordon', instance: name, on, fence });
      }
    }
    return decisions;
  }

  /** Called when an instance has rebooted and so lost its cordon. */
  forget(instance: InstanceName): void {
    this.#sent.delete(instance);
  }

  #isSent(name: InstanceName, on: boolean, { role, epoch }: OwnerFence): boolean {
    const sent = this.#sent.get(name);
    return sent?.on === on && sent.role === role && sent.epoch === epoch;
  }
}
