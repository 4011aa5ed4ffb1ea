import type { Configuration, InstanceSpec } from '../resources/index.js';
import type { InstanceName, PoolName, TaskId, ZoneName } from '../types/index.js';
import type { Resources } from './model.js';
import { PlacementIndex } from './placement-index.js';
import { NO_RESOURCES, add, subtract } from './resource-arithmetic.js';
import { availableOn, availableToCpuOnly } from './worker-availability.js';
import type { ClockAnchor, Hold, WorkerView } from './worker-view.js';

interface WorkerState extends WorkerView {
  zone: ZoneName;
  labels: Readonly<Record<string, string>>;
  capacity: Resources;
  cordoned: boolean;
  used: Resources;
  tasks: number;
  anchor: ClockAnchor | undefined;
  reservedFor: TaskId | undefined;
  /** No longer in the configuration; retained until its last lease has ended. */
  undeclared: boolean;
  readonly holds: Set<Hold>;
}

/** Workers of one pool with the resources reserved on each, and the index used for placement. */
export class WorkerTable {
  readonly #pool: PoolName;
  readonly #workers = new Map<InstanceName, WorkerState>();
  readonly #index = new PlacementIndex();
  #zoneSizes: ReadonlyMap<ZoneName, number> = new Map();
  #zonesOut: ReadonlySet<ZoneName> = new Set();
  #version = 0;
  #configured = false;

  constructor(pool: PoolName) {
    this.#pool = pool;
  }

  /** Incremented whenever resources may have become available. */
  get version(): number {
    return this.#version;
  }

  get index(): PlacementIndex {
    return this.#index;
  }

  get(name: InstanceName): WorkerView | undefined {
    return this.#workers.get(name);
  }

  all(): Iterable<WorkerView> {
    return this.#workers.values();
  }

  configure(cfg: Configuration): void {
    const zones = cfg.list('zone').filter(({ spec }) => spec.state === 'out');
    this.#zonesOut = new Set(zones.map(({ name }) => name));
    const instances = cfg.list('instance').filter(({ spec }) => spec.pool === this.#pool);
    const names = new Set(instances.map(({ name }) => name));
    this.#configured = true;
    this.#removeUndeclared(names);
    for (const { name, spec } of instances) {
      this.#declare(name, spec);
    }
    this.#zoneSizes = this.#countZones();
    this.#index.rebuild(this.#declared());
    for (const worker of this.#workers.values()) {
      this.#reindex(worker);
    }
    this.#version += 1;
  }

  /** False until the first configuration arrives. */
  get configured(): boolean {
    return this.#configured;
  }

  /** Number of declared workers of the pool. */
  get size(): number {
    return this.#declared().length;
  }

  /** Number of declared workers in a zone. */
  workersIn(zone: ZoneName): number {
    return this.#zoneSizes.get(zone) ?? 0;
  }

  /** Total capacity of the workers on which the configuration allows tasks. */
  usableCapacity(): Resources {
    const usable = [...this.#workers.values()].filter((worker) => this.#allowed(worker));
    return usable.reduce((sum, { capacity }) => add(sum, capacity), NO_RESOURCES);
  }

  /** True if the configuration allows starts: the zone is in and the worker is not cordoned. */
  isAllowed(name: InstanceName): boolean {
    const worker = this.#workers.get(name);
    return worker !== undefined && this.#allowed(worker);
  }

  /** True if the worker has reported, is allowed, and has no hold other than `except`. */
  isSchedulable(name: InstanceName, except?: Hold): boolean {
    const worker = this.#workers.get(name);
    if (worker?.anchor === undefined || !this.#allowed(worker)) {
      return false;
    }
    return [...worker.holds].every((hold) => hold === except);
  }

  hasHold(name: InstanceName, hold: Hold): boolean {
    return this.#workers.get(name)?.holds.has(hold) ?? false;
  }

  /** Unreserved resources, less the headroom. An idle worker is available entirely. */
  available(name: InstanceName): Resources {
    const worker = this.#workers.get(name);
    return worker === undefined ? NO_RESOURCES : availableOn(worker);
  }

  setHold(name: InstanceName, hold: Hold, on: boolean): void {
    const worker = this.#workers.get(name);
    if (worker === undefined || worker.holds.has(hold) === on) {
      return;
    }
    if (on) {
      worker.holds.add(hold);
    } else {
      worker.holds.delete(hold);
    }
    this.#onAvailabilityChanged(worker);
  }

  setAnchor(name: InstanceName, anchor: ClockAnchor): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) {
      const first = worker.anchor === undefined;
      worker.anchor = anchor;
      if (first) {
        this.#onAvailabilityChanged(worker);
      }
    }
  }

  /** Reserves the worker for one task; undefined ends the reservation. */
  reserve(name: InstanceName, id: TaskId | undefined): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) {
      worker.reservedFor = id;
      this.#onAvailabilityChanged(worker);
    }
  }

  allocate(name: InstanceName, size: Resources): void {
    this.#adjustUsage(name, size, 1);
  }

  release(name: InstanceName, size: Resources): void {
    this.#adjustUsage(name, subtract(NO_RESOURCES, size), -1);
  }

  /** Changes the size of a task that stays on the worker. */
  resize(name: InstanceName, difference: Resources): void {
    this.#adjustUsage(name, difference, 0);
  }

  #declared(): readonly WorkerState[] {
    return [...this.#workers.values()].filter(({ undeclared }) => !undeclared);
  }

  #removeUndeclared(declared: ReadonlySet<InstanceName>): void {
    for (const worker of [...this.#workers.values()]) {
      worker.undeclared = !declared.has(worker.name);
      if (worker.undeclared && worker.tasks === 0) {
        this.#workers.delete(worker.name);
      }
    }
  }

  #countZones(): ReadonlyMap<ZoneName, number> {
    const sizes = new Map<ZoneName, number>();
    for (const { zone } of this.#declared()) {
      sizes.set(zone, (sizes.get(zone) ?? 0) + 1);
    }
    return sizes;
  }

  #declare(name: InstanceName, spec: InstanceSpec): void {
    const { zone, labels, cordoned, processors, memoryMb, accelerators } = spec;
    const capacity = { processors, memoryMb, accelerators };
    const known = this.#workers.get(name);
    if (known !== undefined) {
      Object.assign(known, { zone, labels, cordoned, capacity });
      return;
    }
    const initial = {
      used: NO_RESOURCES,
      tasks: 0,
      anchor: undefined,
      reservedFor: undefined,
      undeclared: false,
    };
    const holds = new Set<Hold>();
    this.#workers.set(name, { name, zone, labels, cordoned, capacity, holds, ...initial });
  }

  #allowed(worker: WorkerState): boolean {
    return !worker.undeclared && !worker.cordoned && !this.#zonesOut.has(worker.zone);
  }

  #adjustUsage(name: InstanceName, size: Resources, tasks: number): void {
    const worker = this.#workers.get(name);
    if (worker === undefined || worker.tasks + tasks < 0) {
      return;
    }
    worker.used = add(worker.used, size);
    worker.tasks += tasks;
    if (worker.tasks === 0) {
      worker.used = NO_RESOURCES;
    }
    this.#onAvailabilityChanged(worker);
  }

  #onAvailabilityChanged(worker: WorkerState): void {
    this.#reindex(worker);
    this.#version += 1;
  }

  #reindex(worker: WorkerState): void {
    const except = worker.tasks === 0 ? 'probing' : undefined;
    if (this.isSchedulable(worker.name, except) && worker.reservedFor === undefined) {
      this.#index.put(worker, availableOn(worker), availableToCpuOnly(worker));
    } else {
      this.#index.remove(worker.name);
    }
  }
}
