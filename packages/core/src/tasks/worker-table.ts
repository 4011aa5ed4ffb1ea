import type { Configuration, InstanceSpec } from '../resources/index.js';
import type { InstanceName, Millis, PoolName, TaskId, ZoneName } from '../types/index.js';
import { NOTHING, add, subtract } from './amounts.js';
import type { Resources } from './model.js';
import { PlacementIndex } from './placement-index.js';

/** Part of a worker that is left free, as expected sizes are only estimates. */
const PROCESSOR_GUARD = 0.05;
const MEMORY_GUARD = 0.1;
/**
 * Part of the processors and memory per free accelerator that tasks without accelerators leave alone,
 * so that a free accelerator always has something to run with.
 */
const ACCELERATOR_RESERVE = 0.5;

/** Relation between the worker's clock and ours, from one report. */
export interface ClockAnchor {
  readonly incarnation: string;
  readonly clockMs: Millis;
  /** Our clock when the report arrived, so the worker's clock is at least `clockMs` plus what passed. */
  readonly receivedAt: Millis;
}

/** One worker of the pool. */
export interface WorkerView {
  readonly name: InstanceName;
  readonly zone: ZoneName;
  readonly labels: Readonly<Record<string, string>>;
  readonly capacity: Resources;
  readonly cordoned: boolean;
  readonly used: Resources;
  readonly tasks: number;
  readonly anchor: ClockAnchor | undefined;
  readonly reservedFor: TaskId | undefined;
}

/** Reason for which a worker gets no new task for now; one that is probing may get a single one. */
export type Hold = 'unreachable' | 'paused' | 'draining' | 'set-aside' | 'probing';

interface WorkerState extends WorkerView {
  zone: ZoneName;
  labels: Readonly<Record<string, string>>;
  capacity: Resources;
  cordoned: boolean;
  used: Resources;
  tasks: number;
  anchor: ClockAnchor | undefined;
  reservedFor: TaskId | undefined;
  /** No longer declared; kept until its last lease has ended. */
  gone: boolean;
  readonly holds: Set<Hold>;
}

/** The workers of one pool, with what is reserved on each, and the index that placement searches. */
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

  /** Rises whenever room may have been gained. */
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
    this.#dropGone(names);
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

  /** Capacity of the workers that may get work. */
  usableCapacity(): Resources {
    const usable = [...this.#workers.values()].filter((worker) => this.#allowed(worker));
    return usable.reduce((sum, { capacity }) => add(sum, capacity), NOTHING);
  }

  /** True when the configuration lets tasks start there: its zone is in and it is not cordoned. */
  isAllowed(name: InstanceName): boolean {
    const worker = this.#workers.get(name);
    return worker !== undefined && this.#allowed(worker);
  }

  /** True when the worker is there, reports, and is allowed; `except` is not looked at. */
  isOpen(name: InstanceName, except?: Hold): boolean {
    const worker = this.#workers.get(name);
    if (worker?.anchor === undefined || !this.#allowed(worker)) {
      return false;
    }
    return [...worker.holds].every((hold) => hold === except);
  }

  isHeld(name: InstanceName, hold: Hold): boolean {
    return this.#workers.get(name)?.holds.has(hold) ?? false;
  }

  /** Free amounts by expected sizes, less the guard; an empty worker may be filled entirely. */
  room(name: InstanceName): Resources {
    const worker = this.#workers.get(name);
    return worker === undefined ? NOTHING : roomOf(worker);
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
    this.#changed(worker);
  }

  setAnchor(name: InstanceName, anchor: ClockAnchor): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) {
      const first = worker.anchor === undefined;
      worker.anchor = anchor;
      if (first) {
        this.#changed(worker);
      }
    }
  }

  /** Keeps the worker for one task, for which others are being moved away. */
  reserve(name: InstanceName, id: TaskId | undefined): void {
    const worker = this.#workers.get(name);
    if (worker !== undefined) {
      worker.reservedFor = id;
      this.#changed(worker);
    }
  }

  take(name: InstanceName, size: Resources): void {
    this.#use(name, size, 1);
  }

  release(name: InstanceName, size: Resources): void {
    this.#use(name, subtract(NOTHING, size), -1);
  }

  /** Changes the size of a task that stays on the worker. */
  resize(name: InstanceName, difference: Resources): void {
    this.#use(name, difference, 0);
  }

  #declared(): readonly WorkerState[] {
    return [...this.#workers.values()].filter(({ gone }) => !gone);
  }

  #dropGone(declared: ReadonlySet<InstanceName>): void {
    for (const worker of [...this.#workers.values()]) {
      worker.gone = !declared.has(worker.name);
      if (worker.gone && worker.tasks === 0) {
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
    const idle = {
      used: NOTHING,
      tasks: 0,
      anchor: undefined,
      reservedFor: undefined,
      gone: false,
    };
    const holds = new Set<Hold>();
    this.#workers.set(name, { name, zone, labels, cordoned, capacity, holds, ...idle });
  }

  #allowed(worker: WorkerState): boolean {
    return !worker.gone && !worker.cordoned && !this.#zonesOut.has(worker.zone);
  }

  #use(name: InstanceName, size: Resources, tasks: number): void {
    const worker = this.#workers.get(name);
    if (worker === undefined || worker.tasks + tasks < 0) {
      return;
    }
    worker.used = add(worker.used, size);
    worker.tasks += tasks;
    if (worker.tasks === 0) {
      worker.used = NOTHING;
    }
    this.#changed(worker);
  }

  #changed(worker: WorkerState): void {
    this.#reindex(worker);
    this.#version += 1;
  }

  #reindex(worker: WorkerState): void {
    const except = worker.tasks === 0 ? 'probing' : undefined;
    if (this.isOpen(worker.name, except) && worker.reservedFor === undefined) {
      this.#index.put(worker, roomOf(worker), plainRoomOf(worker));
    } else {
      this.#index.remove(worker.name);
    }
  }
}

function roomOf(worker: WorkerView): Resources {
  const { capacity, used, tasks } = worker;
  if (tasks === 0) {
    return capacity;
  }
  return {
    processors: capacity.processors * (1 - PROCESSOR_GUARD) - used.processors,
    memoryMb: capacity.memoryMb * (1 - MEMORY_GUARD) - used.memoryMb,
    accelerators: capacity.accelerators - used.accelerators,
  };
}

/** Room for tasks without accelerators. */
function plainRoomOf(worker: WorkerView): Resources {
  const room = roomOf(worker);
  const { capacity, tasks } = worker;
  if (capacity.accelerators === 0 || tasks === 0) {
    return room;
  }
  const kept = (room.accelerators / capacity.accelerators) * ACCELERATOR_RESERVE;
  return {
    processors: room.processors - capacity.processors * kept,
    memoryMb: room.memoryMb - capacity.memoryMb * kept,
    accelerators: 0,
  };
}
