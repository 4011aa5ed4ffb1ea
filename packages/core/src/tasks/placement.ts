import type { InstanceName } from '../types/index.js';
import { fitsIn, larger, smaller, NOTHING } from './amounts.js';
import type { Resources, TaskRecord, TaskSpec } from './model.js';
import type { ShareLedger } from './share-ledger.js';
import type { UsageEstimator } from './usage-estimator.js';
import type { WorkerTable } from './worker-table.js';

/** Chooses workers by expected sizes. */
export class Placement {
  readonly #table: WorkerTable;
  readonly #estimator: UsageEstimator;
  readonly #ledger: ShareLedger;

  constructor(table: WorkerTable, estimator: UsageEstimator, ledger: ShareLedger) {
    this.#table = table;
    this.#estimator = estimator;
    this.#ledger = ledger;
  }

  /**
   * Why no worker of the present fleet could ever run the task, or undefined if one could. Workers
   * that are down, cordoned or in a zone that is out count, since they may come back.
   */
  infeasibility(task: TaskSpec): string | undefined {
    const limit = this.#ledger.limit(task.team);
    if (limit !== undefined && !fitsIn(task.resources, limit)) {
      return `above the upper limit of team ${task.team}: ${describe(limit)}`;
    }
    const capacities = this.#table.index.capacities(task.constraints);
    if (capacities.length === 0) {
      return 'no instance of the pool matches the constraints';
    }
    if (capacities.some((capacity) => fitsIn(task.resources, capacity))) {
      return undefined;
    }
    const most = capacities.reduce(larger, NOTHING);
    return `no matching instance is large enough; the most of each resource is ${describe(most)}`;
  }

  /** Expected size, at most a whole worker that could hold the declared one. */
  sizeOf(task: TaskSpec): Resources {
    const size = this.#estimator.sizeOf(task);
    if (fitsIn(size, task.resources)) {
      return size;
    }
    const able = this.#table.index
      .capacities(task.constraints)
      .filter((capacity) => fitsIn(task.resources, capacity));
    return smaller(size, able.reduce(larger, task.resources));
  }

  /** The worker for a task, leaving out those on which it failed. */
  find(record: TaskRecord, size: Resources): InstanceName | undefined {
    const { task, failedOn } = record;
    return this.#table.index.bestFit(size, task.constraints, failedOn);
  }

  /** True if a worker on which the task has not failed could run it. */
  hasUntried(record: TaskRecord): boolean {
    const { task, failedOn } = record;
    for (const { name, capacity } of this.#table.all()) {
      const fits = fitsIn(task.resources, capacity) && !failedOn.includes(name);
      if (fits && this.#table.index.matches(name, task.constraints)) {
        return true;
      }
    }
    return false;
  }
}

function describe({ processors, memoryMb, accelerators }: Resources): string {
  return `${processors} processors, ${memoryMb} MB, ${accelerators} accelerators`;
}
