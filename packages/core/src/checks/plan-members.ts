import { groupBy } from '../fleet/fleet-view.js';
import { isSelected } from '../fleet/plan-groups.js';
import type { Configuration, InstanceSpec, PlanSpec } from '../resources/index.js';

/**
 * Looks up which plans of a configuration take an instance or a pool down. Each look-up compares
 * all plans with the members, since a table of all pairs can exceed the memory.
 */
export class PlanMembers {
  readonly #cfg: Configuration;
  readonly #plans: readonly { readonly name: string; readonly spec: PlanSpec }[];
  readonly #byPool: ReadonlyMap<string, readonly InstanceSpec[]>;

  constructor(cfg: Configuration) {
    this.#cfg = cfg;
    this.#plans = cfg.list('plan');
    const instances = cfg.list('instance').map(({ spec }) => spec);
    this.#byPool = groupBy(instances, ({ pool }) => pool);
  }

  /** Names of the plans that select this instance, or an instance of this pool. */
  plansOf(kind: 'instance' | 'pool', name: string): readonly string[] {
    const members = kind === 'pool' ? this.#byPool.get(name) : this.#instance(name);
    return this.#plans
      .filter(({ spec }) => members?.some((member) => isSelected(member, spec.select)))
      .map((plan) => plan.name);
  }

  #instance(name: string): readonly InstanceSpec[] {
    const spec = this.#cfg.spec('instance', name);
    return spec === undefined ? [] : [spec];
  }
}
