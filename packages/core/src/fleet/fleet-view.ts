import { Configuration, type InstanceSpec, type PoolSpec } from '../resources/index.js';
import type { InstanceName, PlanName, PoolName, ZoneName } from '../types/index.js';

/** An instance as declared. */
export interface FleetInstance {
  readonly name: InstanceName;
  readonly version: number;
  readonly spec: InstanceSpec;
}

interface ObservedState {
  readonly up: boolean;
  readonly boot: number;
}

const NO_INSTANCES: readonly FleetInstance[] = [];

/** The declared fleet and the last reported state of each instance. */
export class FleetView {
  #cfg = Configuration.empty;
  #byName = new Map<InstanceName, FleetInstance>();
  #byPool = new Map<PoolName, readonly FleetInstance[]>();
  #pools = new Map<PoolName, PoolSpec>();
  #poolNames: readonly PoolName[] = [];
  #planNames: readonly PlanName[] = [];
  readonly #observed = new Map<InstanceName, ObservedState>();
  readonly #zonesOut = new Set<ZoneName>();

  get cfg(): Configuration {
    return this.#cfg;
  }

  configure(cfg: Configuration): void {
    const instances = cfg.list('instance').map(({ name, version, spec }) => {
      return { name, version, spec };
    });
    instances.sort((a, b) => compareNames(a.name, b.name));
    this.#cfg = cfg;
    this.#byName = new Map(instances.map((instance) => [instance.name, instance]));
    this.#byPool = groupBy(instances, (instance) => instance.spec.pool);
    this.#pools = new Map(cfg.list('pool').map((pool) => [pool.name, pool.spec]));
    this.#poolNames = [...this.#pools.keys()].sort(compareNames);
    this.#planNames = cfg
      .list('plan')
      .map((plan) => plan.name)
      .sort(compareNames);
    this.#zonesOut.clear();
    for (const zone of cfg.list('zone')) {
      if (zone.spec.state === 'out') {
        this.#zonesOut.add(zone.name);
      }
    }
  }

  /** Records a reported state. A report of an older boot than the last one is ignored as late. */
  recordState(instance: InstanceName, up: boolean, boot: number): void {
    const last = this.#observed.get(instance);
    if (last === undefined || boot >= last.boot) {
      this.#observed.set(instance, { up, boot });
    }
  }

  instance(name: InstanceName): FleetInstance | undefined {
    return this.#byName.get(name);
  }

  instances(): readonly FleetInstance[] {
    return [...this.#byName.values()];
  }

  instancesOf(pool: PoolName): readonly FleetInstance[] {
    return this.#byPool.get(pool) ?? NO_INSTANCES;
  }

  pool(name: PoolName): PoolSpec | undefined {
    return this.#pools.get(name);
  }

  /** Names of all pools, sorted. */
  pools(): readonly PoolName[] {
    return this.#poolNames;
  }

  /** Names of all declared plans, sorted. */
  plans(): readonly PlanName[] {
    return this.#planNames;
  }

  /** An instance that was never reported counts as down, since its state is unknown. */
  isUp(name: InstanceName): boolean {
    return this.#observed.get(name)?.up ?? false;
  }

  /** True only when the instance was reported down, not when it was never reported. */
  isReportedDown(name: InstanceName): boolean {
    return this.#observed.get(name)?.up === false;
  }

  boot(name: InstanceName): number | undefined {
    return this.#observed.get(name)?.boot;
  }

  isZoneOut(zone: ZoneName): boolean {
    return this.#zonesOut.has(zone);
  }
}

export function compareNames(a: string, b: string): number {
  return a < b ? -1 : a > b ? 1 : 0;
}

export function groupBy<T, K>(items: readonly T[], keyOf: (item: T) => K): Map<K, T[]> {
  const groups = new Map<K, T[]>();
  for (const item of items) {
    const key = keyOf(item);
    const group = groups.get(key);
    if (group === undefined) {
      groups.set(key, [item]);
    } else {
      group.push(item);
    }
  }
  return groups;
}
